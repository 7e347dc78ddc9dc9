package limit

import "time"

// Result says how a target treated a request.
type Result uint8

// Results.
const (
	// ResultAnswered means that the target answered.
	ResultAnswered Result = iota + 1
	// ResultShed means that the target refused to run the request for lack of room.
	ResultShed
	// ResultFailed means that the connection failed or the target gave no answer.
	ResultFailed
	// ResultIgnored gives the slot back without learning from it, for example after a cancel.
	ResultIgnored
)

// Outcome is what the agent observed of one request.
type Outcome struct {
	// Result says how the target treated the request.
	Result Result
	// ResponseTime is the time from the start to the beginning of the answer.
	ResponseTime time.Duration
	// RetryAfter is the time that a shedding target asks for; 0 when it names none.
	RetryAfter time.Duration
}
