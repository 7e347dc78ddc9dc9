package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// hangTime is the time after which a request without an answer counts as failed.
func (t *Table) hangTime() time.Duration { return max(minHangTime, HangFactor*t.workTime()) }

// awaitsAnswer reports whether the target works on a request that has not been counted as failed.
func (e *entry) awaitsAnswer() bool { return e.phase == open && e.working && !e.failed }

// checkTargetClose counts a failure when the target ends a flow while it works on a request. A flow that its caller
// has closed before does not count: after an outage most flows end so.
func (t *Table) checkTargetClose(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	if e.awaitsAnswer() && !e.callerClosed && (s.Has(segment.RST) || s.Has(segment.FIN) && e.closesWithoutData(s)) {
		t.recordFailure(now, key, e)
	}
}

// closesWithoutData reports whether a target closes a flow on which it has sent no data. A FIN may overtake the data
// before it: its sequence number is then beyond that of the first byte.
func (e *entry) closesWithoutData(s segment.Segment) bool {
	return s.Length == 0 && !e.answered && e.hasSequence && s.Sequence == e.initialSequence+1
}

// checkCallerClose counts a failure when the caller ends a flow after its request has waited for the hang time. A
// caller that leaves earlier says nothing about the target.
func (t *Table) checkCallerClose(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	if e.awaitsAnswer() && (s.Has(segment.RST) || s.Has(segment.FIN)) && now.Sub(e.busySince) >= t.hangTime() {
		t.recordFailure(now, key, e)
	}
}

// checkOverdue counts a failure when a request has waited for the hang time.
func (t *Table) checkOverdue(now time.Time, key flow.Key, e *entry) {
	if e.awaitsAnswer() && now.Sub(e.busySince) >= t.hangTime() {
		t.recordFailure(now, key, e)
	}
}

// recordFailure counts a request that got no answer. A request to an address for which the target has never answered
// does not count: the target may serve other addresses, and may not be meant to serve this one. While the target has
// answered for no address at all, every failure counts.
func (t *Table) recordFailure(now time.Time, key flow.Key, e *entry) {
	e.failed = true
	if len(t.served) > 0 && !t.served[key.Destination] {
		return
	}
	if t.outcomes.RecordFailure(now) {
		t.reportHealthChange(now, HealthChange{})
	}
}

// recordServed records that the target has answered a request for an address.
func (t *Table) recordServed(a netip.AddrPort) {
	if len(t.served) < maxServed {
		t.served[a] = true
	}
}

// reportHealthChange reports that the target was ejected or is in use again, and returns the queued flows of an
// ejected one.
func (t *Table) reportHealthChange(now time.Time, j HealthChange) {
	j.State = t.outcomes.State(now)
	j.Failures = t.outcomes.FailureCount()
	j.Until = t.outcomes.EjectedUntil(now)
	j.WorkTime, j.Busy = t.workTime(), t.Busy()
	t.out.HealthChanged(j)
	if t.outcomes.State(now) == outlier.Ejected {
		t.returnAllQueued(now, dsrpb.Verdict_VERDICT_BUSY)
	}
}

// HealthChange describes why a target was ejected, or that it is in use again.
type HealthChange struct {
	State outlier.State
	// Failures is the number of failed requests among the last 20, Until the end of the ejection.
	Failures int
	Until    time.Time
	// WorkTime is how long the target lately took for a request, Busy the number of requests at it.
	WorkTime time.Duration
	Busy     int
	// LooksFailed is set when the last request was answered, but much faster and smaller than expected; Answer is
	// that answer, Median the minimum answer of the median target.
	LooksFailed    bool
	Answer, Median outlier.Answer
}
