package estimate

import (
	"math"
	"time"
)

// rateTime is the time over which a rate is averaged.
const rateTime = 4 * time.Second

// Rate is how often something happens, averaged over the last seconds. The zero value has seen nothing.
type Rate struct {
	// count is the number of events, of which older ones count less; at is when it was worked out, since when the first one was seen.
	count     float64
	at, since time.Time
}

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

// PerSecond is the rate at a time. What began a moment ago is not taken for rare.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	seen := rateTime.Seconds() * (1 - math.Exp(-max(now.Sub(r.since), time.Second).Seconds()/rateTime.Seconds()))
	return r.decayed(now) / seen
}

func (r *Rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}
