// Package resource defines the typed objects that operators and the system keep in the object API, and their validation.
package resource
