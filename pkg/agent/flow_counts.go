package agent

import "sync/atomic"

// flowCounts counts the TCP flows that were proxied to the target since the agent started.
type flowCounts struct {
	ended, failed atomic.Uint64
}

// add counts an ended flow. A flow failed when the target accepted no connection or broke it; a flow ended by its
// caller, a drain or another owner did not fail.
func (c *flowCounts) add(failed bool) {
	c.ended.Add(1)
	if failed {
		c.failed.Add(1)
	}
}

// FlowCounts returns the number of ended TCP flows in stream mode, and how many of them failed because the target
// accepted no connection or broke it. Both only increase while the agent runs. Flows in request mode are counted by the
// request handler; UDP flows are not counted, since their end doesn't show a failure.
func (a *Agent) FlowCounts() (ended, failed uint64) {
	failed = a.counts.failed.Load()
	return a.counts.ended.Load(), failed
}
