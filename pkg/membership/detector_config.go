package membership

import (
	"cmp"
	"time"
)

// Defaults of a DetectorConfig.
const (
	DefaultSuspectAfter = 1500 * time.Millisecond
	DefaultGrace        = 4 * time.Second
	DefaultVoteLifetime = 3 * time.Second
	DefaultVoteRepeat   = time.Second
	DefaultMassLossHold = 10 * time.Second
	DefaultPauseLimit   = time.Second
)

// DetectorConfig holds the settings of a Detector; zero values mean the defaults.
type DetectorConfig struct {
	// Self is the ID of the observing balancer.
	Self string
	// SuspectAfter is how long a member may be silent. Members send a heartbeat every second.
	SuspectAfter time.Duration
	// Grace is how long a member may be silent after it became watched by this balancer.
	Grace time.Duration
	// VoteLifetime is how long a vote counts.
	VoteLifetime time.Duration
	// VoteRepeat is the time after which a vote that still holds is sent again.
	VoteRepeat time.Duration
	// MassLossHold is how long an observer that reaches its peers takes a loss of most members for its own fault.
	MassLossHold time.Duration
	// PauseLimit is the time between two calls of Tick above which the observer itself was paused.
	PauseLimit time.Duration
}

func (c DetectorConfig) withDefaults() DetectorConfig {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.Grace = cmp.Or(c.Grace, DefaultGrace)
	c.VoteLifetime = cmp.Or(c.VoteLifetime, DefaultVoteLifetime)
	c.VoteRepeat = cmp.Or(c.VoteRepeat, DefaultVoteRepeat)
	c.MassLossHold = cmp.Or(c.MassLossHold, DefaultMassLossHold)
	c.PauseLimit = cmp.Or(c.PauseLimit, DefaultPauseLimit)
	return c
}
