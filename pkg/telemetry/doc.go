// Package telemetry creates the logger and the metrics scope of a daemon, serves its metrics and status over HTTP, and
// implements its main function.
package telemetry
