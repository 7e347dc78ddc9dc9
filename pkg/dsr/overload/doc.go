// Package overload decides which requests of a service are refused while more is asked of its targets than they can do.
//
// It does no I/O and reads no clock.
package overload
