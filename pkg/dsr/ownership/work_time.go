package ownership

import (
	"math"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// workTime is the target's time for one request.
func (t *Table) workTime() time.Duration { return t.meanWork.ValueOr(DefaultWorkTime) }

// recordWorkTime adds a sample of the work time, from a request that had a slot at once.
func (t *Table) recordWorkTime(now time.Time, work time.Duration) {
	if now.Sub(t.workUpdated) > WorkTimeMaxAge {
		t.meanWork = estimate.Mean{}
	}
	t.meanWork.Add(work)
	t.workUpdated = now
}

// reportedWorkTime is the target's time for one request as reported to balancers, in microseconds; 0 when it is not
// known.
func (t *Table) reportedWorkTime(now time.Time) uint32 {
	if !t.meanWork.HasSample() || now.Sub(t.workUpdated) > WorkTimeMaxAge {
		return 0
	}
	return uint32(t.meanWork.ValueOr(0) / time.Microsecond)
}

// recordRoundTrip takes a sample of the round trip from a caller's first data on a flow that the target has answered.
// Two round trips lie between the answer to the opening packet and the answer to the request.
func (t *Table) recordRoundTrip(now time.Time, e *entry, s segment.Segment) {
	if e.phase != open || e.requested || !e.hasSequence || s.Length == 0 {
		return
	}
	if roundTrip := now.Sub(e.since); roundTrip <= maxRoundTrip {
		t.roundTrip.Add(roundTrip)
		t.queue.RoundTrips = 2 * t.roundTrip.Mean(0)
	}
}

// extraRequests is the number of requests that the target is given beyond its slots: those that callers have still to
// send, for which the slots would be idle for a round trip each.
func (t *Table) extraRequests() int {
	slots := t.slots()
	waiting := float64(slots) * float64(t.roundTrip.Mean(admission.DefaultRoundTrips/2)) / float64(t.workTime())
	return min(max(1, int(math.Ceil(waiting))), MaxExtraFactor*slots)
}

// halfOpen is how long a flow whose caller has not sent its request counts as work.
func (t *Table) halfOpen() time.Duration {
	return min(max(HalfOpenTimeout, t.roundTrip.Timeout(0)), maxRoundTrip)
}
