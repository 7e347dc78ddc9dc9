// Package resource defines the typed objects that operators and the system store in the object API, and their
// validation.
package resource
