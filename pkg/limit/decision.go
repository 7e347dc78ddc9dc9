package limit

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Verdict says what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// VerdictStart means that the request has a slot now.
	VerdictStart Verdict = iota + 1
	// VerdictWait means that the request waits for a slot.
	VerdictWait
	// VerdictRefuse means that the request has no slot and never gets one.
	VerdictRefuse
)

// Decision is the answer of the limiter for one request.
type Decision struct {
	// Verdict says what becomes of the request.
	Verdict Verdict
	// Reason is why it is refused.
	Reason refusal.Reason
	// Detail says what was observed, for the record.
	Detail string
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Started is other waiting work that got a slot by this call; the shell closes its Wake.
	Started []*Work
	// Refused is other waiting work that can no longer meet its deadline by this call; it has left the queue. The
	// shell closes its Wake.
	Refused []*Work
}
