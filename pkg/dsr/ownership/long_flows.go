package ownership

import "time"

const (
	// flowCountMaxAge is how long a count of the open flows is reported: an agent may announce itself to hundreds of
	// balancers in turn.
	flowCountMaxAge = 100 * time.Millisecond
	// repeatedRequestsMemory is how long flows count as carrying several requests after one was seen to.
	repeatedRequestsMemory = MaxFlowAge
)

// longFlows is what the agent reports of the target's open flows.
type longFlows struct {
	// open is their number as of counted.
	open    int
	counted time.Time
	// repeated is when a flow last carried a request after an answered one.
	repeated time.Time
}

// countFlows returns the open flows of the target, from the last count unless it is too old.
func (t *Table) countFlows(now time.Time) longFlows {
	if !t.long.counted.IsZero() && now.Sub(t.long.counted) < flowCountMaxAge {
		return t.long
	}
	t.long.open, t.long.counted = 0, now
	for _, e := range t.flows {
		if e.phase != open || e.callerClosed || e.targetClosed {
			continue
		}
		t.long.open++
		if e.answered && e.working {
			t.long.repeated = now
		}
	}
	return t.long
}

// reportedFlows returns the number of open flows as reported to balancers.
func (t *Table) reportedFlows(now time.Time) uint32 { return uint32(t.countFlows(now).open) }

// repeatsRequests reports whether callers send several requests on a flow.
func (t *Table) repeatsRequests(now time.Time) bool {
	last := t.countFlows(now).repeated
	return !last.IsZero() && now.Sub(last) <= repeatedRequestsMemory
}
