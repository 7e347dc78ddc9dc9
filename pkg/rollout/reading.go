package rollout

import "time"

// Reading holds the counters that were received of one agent incarnation.
type Reading struct {
	// Agent and Incarnation identify the process that counted.
	Agent       string
	Incarnation uint64
	// Version is the version of the agent's target.
	Version string
	// Counts are the totals since the incarnation started.
	Counts
	// ZeroAge is the time since the counters were last seen at zero; 0 means that they never were.
	ZeroAge time.Duration
}
