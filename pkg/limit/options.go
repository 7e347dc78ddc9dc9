package limit

import (
	"math/rand/v2"
	"time"
)

// Defaults and bounds.
const (
	// DefaultQueue bounds the waiting requests in memory; the deadlines usually bound them lower.
	DefaultQueue = 256
	// maxPause is the longest time for which a shedding or failing target is left alone.
	maxPause = 5 * time.Second
	// firstBackoff is the first pause after a failed connection; it doubles with each failure.
	firstBackoff = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is asked back.
	minRetryAfter = 50 * time.Millisecond
	// idleRetryAfter is what a caller is told when the target is unusable for no known time.
	idleRetryAfter = time.Second
	// trialInterval is how often a target that seems too slow for the deadlines gets one request to learn from.
	trialInterval = time.Second
	// decreaseFactor is applied to the limit when the target sheds.
	decreaseFactor = 0.7
)

// Options configures a Limiter.
type Options struct {
	// Slots is the number of requests that the target runs at once, at least 1.
	Slots int
	// Queue is the highest number of waiting requests; 0 means DefaultQueue.
	Queue int
	// Cold is true for a target that has just started: its limit begins at 1 and doubles while it answers well.
	Cold bool
	// Unbounded switches the estimate of deadlines off; it is for measured comparisons only.
	Unbounded bool
	// Rand spreads the times at which callers are asked back.
	Rand *rand.Rand
}
