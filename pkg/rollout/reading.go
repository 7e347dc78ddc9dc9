package rollout

import "time"

// Reading is what was heard of the counters of one agent incarnation.
type Reading struct {
	// Agent and Incarnation name the process that counted.
	Agent       string
	Incarnation uint64
	// Version is the version of the agent's target.
	Version string
	// Counts are those since the incarnation began.
	Counts
	// ZeroAge is the time since the counters were heard at zero; 0 means that they never were.
	ZeroAge time.Duration
}
