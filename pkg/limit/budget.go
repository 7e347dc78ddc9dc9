package limit

import "sync"

// Defaults of a Budget.
const (
	// DefaultRetryRatio is the number of retries that one first attempt adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst is the highest number of retries that the budget holds.
	DefaultRetryBurst = 10
)

// Budget bounds the retries of idempotent requests to a fraction of the requests.
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

// Deposit adds the share of one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Withdraw takes one retry from the budget, or returns false when less than one is left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
