// Package placement ranks the targets of a service for each flow, the same on every process that has the same view.
//
// It does no input or output, starts no goroutine and reads no clock.
package placement
