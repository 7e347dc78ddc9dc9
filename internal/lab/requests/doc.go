// Package requests drives the request handling of agents on loopback under load and faults, and compares the outcome
// that each caller received with the runs that the targets recorded.
package requests
