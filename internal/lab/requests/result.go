package requests

import (
	"fmt"
	"time"
)

// Result is the measured end of a run.
type Result struct {
	// Policy and Load are what was run.
	Policy string
	Load   float64
	// Requests is the number of pieces of work, Ran those that a target began to run.
	Requests, Ran int
	// Doubled is the number of non-idempotent pieces that began more than once.
	Doubled int
	// Lies is the number of pieces whose caller was told the opposite of the truth.
	Lies int
	// Mixed and Truncated count wrong and short answers that looked whole, and requests at the wrong service.
	Mixed, Truncated int
	// Refused and Unknown count the other two outcomes. Unexplained are the unknown ones without a death or a caller
	// that went away.
	Refused, Unknown, Unexplained int
	// Imbalance is the highest mean number of busy slots of a target in relation to the mean of the service; the worst
	// service counts.
	Imbalance float64
	// Goodput is the number of whole answers in time a second; GoodputBaseline is that of the best baseline.
	Goodput, GoodputBaseline float64
	// P50 and P99 are of the answers in time.
	P50, P99 time.Duration
	// Answered is the number of whole answers, Late those of them that came after the deadline.
	Answered, Late int
}

// lateShare of the answers, as a divisor, may be late: the 99th percentile is then within the deadline.
const lateShare = 100

// String is the line that ends a run.
func (r Result) String() string {
	return fmt.Sprintf("requests=%d ran=%d doubled=%d lies=%d mixed=%d truncated=%d refused=%d unknown=%d "+
		"imbalance=%.3f goodput=%.1f goodput_baseline=%.1f p50_ms=%.1f p99_ms=%.1f",
		r.Requests, r.Ran, r.Doubled, r.Lies, r.Mixed, r.Truncated, r.Refused, r.Unknown,
		r.Imbalance, r.Goodput, r.GoodputBaseline, milliseconds(r.P50), milliseconds(r.P99))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// broken names the first broken promise; empty when all were kept.
func (r Result) broken() string {
	switch {
	case r.Doubled > 0:
		return "non-idempotent work ran twice"
	case r.Lies > 0:
		return "a caller was told the opposite of the truth"
	case r.Mixed > 0:
		return "an answer reached the wrong caller, or a request the wrong service"
	case r.Truncated > 0:
		return "a short answer looked whole"
	case r.Unexplained > 0:
		return "an outcome is unknown although no process died"
	case r.Late*lateShare > r.Answered:
		return "more than a hundredth of the accepted work was answered late"
	}
	return ""
}
