package peer

import (
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// DefaultBudget is the number of bytes a second that control traffic of one process may take on average, both
// directions together.
const DefaultBudget = 12 << 10

// budgetBurst is the time for which unused budget is saved up.
const budgetBurst = 10 * time.Second

// budget counts the bytes of all control connections of a process. Calls that can't wait are only counted; the exchange
// of records slows down while the budget is overdrawn. The debt is bounded, so that a burst of calls that can't wait, as
// when all targets of a large service join at once, doesn't hold the exchange back for long.
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

// spend counts bytes that were sent or received.
func (b *budget) spend(n int) {
	now := b.now()
	debtLeft := int(b.limiter.TokensAt(now)) + b.burst
	b.limiter.ReserveN(now, max(0, min(n, b.burst, debtLeft)))
}

// isOverdrawn reports whether more was spent than the budget allows.
func (b *budget) isOverdrawn() bool {
	return b.available() <= 0
}

// available returns the number of bytes that may be spent now; it isn't positive while the budget is overdrawn.
func (b *budget) available() int {
	tokens := b.limiter.TokensAt(b.now())
	b.availableGauge.Update(tokens)
	return int(tokens)
}
