package requests

import (
	"fmt"
	"time"
)

// Result holds the counts and measurements of a run.
type Result struct {
	// Policy and Load are the parameters of the run; Load is relative to the capacity.
	Policy string
	Load   float64
	// Requests is the number of planned requests, Ran of those that a target began to run.
	Requests, Ran int
	// Doubled is the number of non-idempotent requests that targets began to run more than once.
	Doubled int
	// Lies is the number of requests whose caller received the opposite of the actual outcome.
	Lies int
	// Mixed counts wrong responses that looked complete and requests at the wrong service, Truncated short responses that
	// looked complete.
	Mixed, Truncated int
	// Refused and Unknown count the other two outcomes. Unexplained counts the unknown ones without a known cause, such
	// as the death of a process or a cancellation by the caller.
	Refused, Unknown, Unexplained int
	// Imbalance is the highest ratio, over all services, of a target's mean number of busy slots to the mean of its
	// service.
	Imbalance float64
	// Goodput is the number of complete responses per second within the deadline; GoodputBaseline is that of the best
	// baseline.
	Goodput, GoodputBaseline float64
	// P50 and P99 are percentiles of the latency of the complete responses within the deadline.
	P50, P99 time.Duration
	// Answered is the number of complete responses, Late of those that came after the deadline.
	Answered, Late int
}

// lateShare is the divisor of Answered that bounds Late, so that the 99th percentile is within the deadline.
const lateShare = 100

// String returns the summary line of a run.
func (r Result) String() string {
	return fmt.Sprintf("requests=%d ran=%d doubled=%d lies=%d mixed=%d truncated=%d refused=%d unknown=%d "+
		"imbalance=%.3f goodput=%.1f goodput_baseline=%.1f p50_ms=%.1f p99_ms=%.1f",
		r.Requests, r.Ran, r.Doubled, r.Lies, r.Mixed, r.Truncated, r.Refused, r.Unknown,
		r.Imbalance, r.Goodput, r.GoodputBaseline, milliseconds(r.P50), milliseconds(r.P99))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// broken describes the first violated guarantee, or is empty.
func (r Result) broken() string {
	switch {
	case r.Doubled > 0:
		return "a non-idempotent request ran more than once"
	case r.Lies > 0:
		return "a caller received the opposite of the actual outcome"
	case r.Mixed > 0:
		return "a response reached the wrong caller, or a request the wrong service"
	case r.Truncated > 0:
		return "a truncated response looked complete"
	case r.Unexplained > 0:
		return "an outcome is unknown without a known cause"
	case r.Late*lateShare > r.Answered:
		return "more than 1% of the complete responses were late"
	}
	return ""
}
