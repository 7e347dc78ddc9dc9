package dsrd

import "time"

// failureChange is what the result of a call changes.
type failureChange int

const (
	failuresUnchanged failureChange = iota
	// failuresBegan: this call failed, the one before did not.
	failuresBegan
	// failuresEnded: this call succeeded, the one before did not.
	failuresEnded
)

// callPause spaces the calls of a loop while they fail. It is not safe for concurrent use.
type callPause struct {
	// until is the time before which no call is made, failures the number of consecutive failed calls.
	until    time.Time
	failures int
}

// isOver reports whether a call may be made.
func (p *callPause) isOver(now time.Time) bool { return !now.Before(p.until) }

// record records the result of a call that ended now. Each further failure lengthens the pause.
func (p *callPause) record(now time.Time, err error) failureChange {
	before := p.failures
	if err == nil {
		p.failures = 0
		if before > 0 {
			return failuresEnded
		}
		return failuresUnchanged
	}
	p.until = now.Add(pauseAfter(before))
	p.failures++
	if before == 0 {
		return failuresBegan
	}
	return failuresUnchanged
}
