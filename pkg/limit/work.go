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
	// Caller identifies who is served fairly: the caller's IP address.
	Caller string
	// Deadline is when the answer must have begun.
	Deadline time.Time
	// Wake is closed by the shell when the limiter names the work in a list; Poll then tells its verdict.
	Wake chan struct{}

	state workState
	since time.Time
	trial bool
}
