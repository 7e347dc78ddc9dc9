package limit

import "sync"

// Defaults of a Budget.
const (
	// DefaultRetryRatio is the number of retries that one request pays for.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst is the highest number of saved retries.
	DefaultRetryBurst = 10
)

// Budget bounds the retries of idempotent requests to a part of the requests.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// Deposit counts one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Withdraw pays for one retry, or returns false.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
