package ownership

import (
	"math"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// pace is the target's time for one request.
func (t *Table) pace() time.Duration { return t.worked.ValueOr(StartWork) }

// learnWork takes the time of a request that had a slot at once.
func (t *Table) learnWork(now time.Time, work time.Duration) {
	if now.Sub(t.paced) > PaceAge {
		t.worked = estimate.Mean{}
	}
	t.worked.Add(work)
	t.paced = now
}

// toldWork is the target's time for one request as the balancers are told, in microseconds; 0 when it is not known.
func (t *Table) toldWork(now time.Time) uint32 {
	if !t.worked.HasSample() || now.Sub(t.paced) > PaceAge {
		return 0
	}
	return uint32(t.worked.ValueOr(0) / time.Microsecond)
}

// learnTrip takes a caller's first data on a flow that the target has answered. Two such trips lie between the answer to the
// opening packet and the answer to the request.
func (t *Table) learnTrip(now time.Time, e *entry, s segment.Segment) {
	if e.phase != open || e.requested || !e.hasSequence || s.Length == 0 {
		return
	}
	if trip := now.Sub(e.since); trip <= maxRoundTrip {
		t.trip.Add(trip)
		t.queue.Trips = 2 * t.trip.Mean(0)
	}
}

// extra is the number of requests that the target is handed beyond its slots: those whose callers have still to send them, since
// the slots would stand idle for a round trip each.
func (t *Table) extra() int {
	slots := t.slots()
	waiting := float64(slots) * float64(t.trip.Mean(admission.StartTrips/2)) / float64(t.pace())
	return min(max(1, int(math.Ceil(waiting))), MaxExtra*slots)
}

// halfOpen is how long a flow counts as work whose caller has not sent its request.
func (t *Table) halfOpen() time.Duration {
	return min(max(HalfOpenBusy, t.trip.Timeout(0)), maxRoundTrip)
}
