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

// DetectorConfig holds the settings of a Detector; zero values other than Self mean the defaults.
type DetectorConfig struct {
	// Self is the ID of the observing balancer.
	Self string
	// SuspectAfter is the silence after which a member is suspected. Members send a heartbeat every second.
	SuspectAfter time.Duration
	// Grace replaces SuspectAfter until the first heartbeat of the member's incarnation.
	Grace time.Duration
	// VoteLifetime is the time after which a received vote expires.
	VoteLifetime time.Duration
	// VoteRepeat is the time between repeats of a vote while the member stays suspect.
	VoteRepeat time.Duration
	// MassLossHold is how long an observer that reaches its peers doesn't vote after it lost most members at once.
	MassLossHold time.Duration
	// PauseLimit is the time between two calls of Tick above which the observer's process counts as paused.
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
