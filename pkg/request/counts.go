package request

import (
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// counts count the requests that ended at the own target, or that this agent refused for want of one.
type counts struct {
	total, failed atomic.Uint64
}

// reasonsNotCounted are the reasons that say nothing about the target: the caller's own cancel, the drain of the agent, and the evacuation
// of its data centre.
var reasonsNotCounted = []refusal.Reason{refusal.ReasonCancelled, refusal.ReasonDraining, refusal.ReasonEvacuated}

// add counts an outcome, unless it says nothing about the target.
func (c *counts) add(o *outcome) {
	if o.refusal != nil && slices.Contains(reasonsNotCounted, o.refusal.Reason) {
		return
	}
	failed := o.failedAtTarget()
	if !failed && o.truncated {
		return
	}
	c.total.Add(1)
	if failed {
		c.failed.Add(1)
	}
}

// failedAtTarget reports whether the target did not answer, not wholly, or with a status of 500 or above.
func (o *outcome) failedAtTarget() bool {
	return o.refusal != nil || o.incomplete || o.status >= http.StatusInternalServerError
}

// Counts returns the number of requests that ended at this agent's target, those included that the agent refused, and
// how many of them failed. Refused, unanswered and cut ones failed, and so did answers of status 500 and above. A
// request that a peer ran is counted by the peer. Both numbers only rise.
func (s *Server) Counts() (requests, failures uint64) {
	failures = s.counts.failed.Load()
	return s.counts.total.Load(), failures
}
