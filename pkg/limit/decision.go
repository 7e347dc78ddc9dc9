package limit

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Verdict is the limiter's decision on a request.
type Verdict uint8

const (
	// VerdictStart means that the request has a slot now.
	VerdictStart Verdict = iota + 1
	// VerdictWait means that the request waits for a slot.
	VerdictWait
	// VerdictRefuse means that the request is refused and does not wait.
	VerdictRefuse
)

// Decision is the limiter's answer for one request.
type Decision struct {
	Verdict Verdict
	// Reason is why it is refused.
	Reason refusal.Reason
	// Detail is the observed load, for the refusal record.
	Detail string
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Started is other waiting work that got a slot in this call; the agent closes its Wake.
	Started []*Work
	// Refused is other waiting work that left the queue in this call because it can no longer meet its deadline or the
	// queue is too long. The agent closes its Wake.
	Refused []*Work
}
