package peer

import (
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// DefaultBudget is the default budget for the control traffic of one process, in bytes per second on average, both
// directions together.
const DefaultBudget = 12 << 10

// budgetBurst is the time over which unused budget accumulates.
const budgetBurst = 10 * time.Second

// budget counts the bytes of all control connections of a process. Urgent calls are counted but never delayed; the
// exchange of records slows down while the budget is overdrawn. The debt is bounded, so that a burst of urgent calls,
// as when all targets of a large service join at once, doesn't slow the exchange down for long.
type budget struct {
	limiter        *rate.Limiter
	burst          int
	now            func() time.Time
	sent           tally.Counter
	received       tally.Counter
	availableGauge tally.Gauge
}

func newBudget(bytesPerSecond int, now func() time.Time, metrics tally.Scope) *budget {
	burst := bytesPerSecond * int(budgetBurst/time.Second)
	return &budget{
		limiter:        rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		burst:          burst,
		now:            now,
		sent:           metrics.Counter("control_bytes_sent"),
		received:       metrics.Counter("control_bytes_received"),
		availableGauge: metrics.Gauge("control_bytes_available"),
	}
}

// spend counts n bytes that were sent or received.
func (b *budget) spend(n int) {
	now := b.now()
	debtLeft := int(b.limiter.TokensAt(now)) + b.burst
	b.limiter.ReserveN(now, max(0, min(n, b.burst, debtLeft)))
}

// isOverdrawn reports whether no budget is available.
func (b *budget) isOverdrawn() bool {
	return b.available() <= 0
}

// available returns the number of bytes that may be spent now; it is zero or negative while the budget
// is overdrawn.
func (b *budget) available() int {
	tokens := b.limiter.TokensAt(b.now())
	b.availableGauge.Update(tokens)
	return int(tokens)
}
