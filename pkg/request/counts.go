package request

import (
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// counts holds the number of requests that ended at this agent's target or that the agent refused, and how many of them
// failed.
type counts struct {
	total, failed atomic.Uint64
}

// reasonsNotCounted are refusal reasons that say nothing about the target: cancelled by the caller, a draining agent,
// an evacuated data centre.
var reasonsNotCounted = []refusal.Reason{refusal.ReasonCancelled, refusal.ReasonDraining, refusal.ReasonEvacuated}

// add counts an outcome unless it says nothing about the target.
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

// failedAtTarget reports whether the request was refused, or the target sent an incomplete response or a status of 500
// or above.
func (o *outcome) failedAtTarget() bool {
	return o.refusal != nil || o.incomplete || o.status >= http.StatusInternalServerError
}

// Counts returns the number of requests that ended at this agent's target, including those that the agent refused, and
// how many of them failed. Refused requests, incomplete responses and responses with status 500 or above count as
// failed. A request that a peer ran is counted by the peer. Both counters only increase.
func (s *Server) Counts() (requests, failures uint64) {
	failures = s.counts.failed.Load()
	return s.counts.total.Load(), failures
}
