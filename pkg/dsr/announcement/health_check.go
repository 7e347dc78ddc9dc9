package announcement

import "time"

// HealthCheck is a target's answer to a health check. It proves which process ran at the target's address between the start of
// the check and its answer; a report proves nothing about that, since it may have been delayed for any time.
type HealthCheck struct {
	// ID is the name of the process that answered, StartedMs its start in Unix milliseconds, 0 when the answer has none.
	ID        string
	StartedMs uint64
	// Ready is set when the process calls itself healthy.
	Ready bool
	// Began is when the check was started.
	Began time.Time
}
