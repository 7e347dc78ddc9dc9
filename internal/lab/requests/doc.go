// Package requests drives the request side of agents on loopback under load and faults, and compares what every caller
// was told with what the targets ran.
package requests
