package agent

import "sync/atomic"

// flowCounts count the TCP flows that came to the target, since the agent began.
type flowCounts struct {
	ended, failed atomic.Uint64
}

// add counts a flow that is over. It failed when the target took no connection or died; a flow that its caller, a drain
// or another owner ended did not.
func (c *flowCounts) add(failed bool) {
	c.ended.Add(1)
	if failed {
		c.failed.Add(1)
	}
}

// FlowCounts returns the number of TCP flows of opaque bytes that came to the target and are over, and how many of them
// failed because the target took no connection or broke it. Both only rise while the agent runs. Flows of requests are
// left to the request handler, and UDP flows have no end that tells of a failure.
func (a *Agent) FlowCounts() (ended, failed uint64) {
	failed = a.counts.failed.Load()
	return a.counts.ended.Load(), failed
}
