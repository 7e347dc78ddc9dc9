// Package placement ranks the targets of a service for each flow, identically in every process that has the same view.
//
// It does no I/O, starts no goroutine and reads no clock.
package placement
