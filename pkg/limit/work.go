package limit

import "time"

type workState uint8

const (
	workNew workState = iota
	workWaiting
	workRunning
	workLeft
)

// Work is one request at the limiter.
type Work struct {
	// Caller is the key of fair queueing: the caller's IP address.
	Caller string
	// Deadline is the time by which the answer must have begun.
	Deadline time.Time
	// Wake is closed by the agent when the limiter returns the work in a list; Poll then returns its verdict.
	Wake chan struct{}

	state workState
	since time.Time
	trial bool
}
