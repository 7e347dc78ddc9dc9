// Package store is an in-memory stand-in for the platform's object API with fault injection, for tests and the lab.
package store
