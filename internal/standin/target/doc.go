// Package target stands in for an operator's target: an HTTP server on loopback whose responses can be checked byte by byte.
//
// It can be slow after its start, shed load, report a false load and be killed. A Journal records the work that it ran.
package target
