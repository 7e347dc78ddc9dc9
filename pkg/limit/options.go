package limit

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultQueue bounds the waiting requests to limit memory; the deadlines usually bound them lower.
	DefaultQueue = 256
	// maxPause is the longest time for which a shedding or failing target gets no requests.
	maxPause = 5 * time.Second
	// firstBackoff is the first pause after a failed connection, which doubles with each failure; also the pause of a
	// shedding target that asks for none.
	firstBackoff = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
	// idleRetryAfter is the time after which a caller is asked to retry when the limiter is closed.
	idleRetryAfter = time.Second
	// trialInterval is the minimum time between single requests to a target that seems too slow for the deadlines.
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
	// Cold is true for a target that has just started: its limit begins at 1 and doubles each round while it answers.
	Cold bool
	// Unbounded disables the deadline estimate; it is for measured comparisons only.
	Unbounded bool
	// Rand adds jitter to RetryAfter.
	Rand *rand.Rand
}
