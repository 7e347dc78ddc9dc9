package ownership

import "time"

// recordRepeatedRequest records a caller's new data on a flow whose target has answered before.
func (t *Table) recordRepeatedRequest(now time.Time, e *entry) {
	if e.answered {
		t.repeatedRequest = now
	}
}

// holdsRepeatedRequests reports whether callers send several requests on one flow: one did so while a flow that was open
// then may still be.
func (t *Table) holdsRepeatedRequests(now time.Time) bool {
	return !t.repeatedRequest.IsZero() && now.Sub(t.repeatedRequest) <= MaxFlowAge
}
