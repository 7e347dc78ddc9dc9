// Package telemetry makes the logger and the metrics scope of a daemon, serves its metrics and status over HTTP, and
// runs its main function.
package telemetry
