// Package target stands in for an operator's target: an HTTP server on loopback whose answers can be checked byte by byte.
//
// It can start cold, shed load, report a false load, and be killed. It keeps a log of what truly ran.
package target
