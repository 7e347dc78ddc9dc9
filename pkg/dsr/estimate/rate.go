package estimate

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay.
const rateTimeConstant = 4 * time.Second

// Rate is the frequency of an event, averaged over the last seconds. The zero value has no event.
type Rate struct {
	// count is the exponentially decayed number of events as of at; since is the time of the first event.
	count     float64
	at, since time.Time
}

// Record counts an event.
func (r *Rate) Record(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

// PerSecond returns the rate at a time. It compensates for the missing history of a recent first event.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	seen := rateTimeConstant.Seconds() * (1 - math.Exp(-max(now.Sub(r.since), time.Second).Seconds()/rateTimeConstant.Seconds()))
	return r.decayed(now) / seen
}

func (r *Rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}
