// Package refusal keeps a record of every refused flow and request and stores the records through the object API.
package refusal
