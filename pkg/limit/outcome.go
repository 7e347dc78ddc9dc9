package limit

import "time"

// Result is how a target treated a request.
type Result uint8

const (
	// ResultAnswered means that the target answered.
	ResultAnswered Result = iota + 1
	// ResultShed means that the target rejected the request because of overload.
	ResultShed
	// ResultFailed means that the connection failed or the target gave no answer.
	ResultFailed
	// ResultIgnored releases the slot without updating the estimates, for example after a cancel.
	ResultIgnored
)

// Outcome is what the agent observed of one request.
type Outcome struct {
	Result Result
	// ResponseTime is the time from the start of the request to the beginning of the answer.
	ResponseTime time.Duration
	// RetryAfter is the time that a shedding target asks for; 0 when it names none.
	RetryAfter time.Duration
}
