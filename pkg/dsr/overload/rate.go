package overload

import (
	"math"
	"time"
)

// Averaging times of rates.
const (
	// arrivalTime is that of arriving flows: it follows a burst within a promised time of a few hundred milliseconds.
	arrivalTime = 300 * time.Millisecond
	// demandTime is that of what targets and callers ask for.
	demandTime = 2 * time.Second
)

// rate is the frequency of an event with an exponentially decaying memory. The zero value has no event and must be given
// its averaging time.
type rate struct {
	over  time.Duration
	count float64
	at    time.Time
	since time.Time
}

func (r *rate) record(now time.Time, weight float64) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.count = r.decayed(now) + weight
	r.at = now
}

// perSecond compensates for the missing history of a recent first event.
func (r *rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	seen := max(now.Sub(r.since), r.over/2).Seconds() / r.over.Seconds()
	return r.decayed(now) / (r.over.Seconds() * (1 - math.Exp(-seen)))
}

func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/r.over.Seconds())
}
