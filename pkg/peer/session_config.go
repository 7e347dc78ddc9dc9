package peer

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// SessionConfig holds the settings of a Session.
type SessionConfig struct {
	// Self is the agent's record: ID, Incarnation, Region, DataCentre, PacketAddr and Service are required, State is
	// ignored.
	Self membership.Member
	// Seeds are control addresses of balancers to connect to first; at least one is required.
	Seeds []string
	// TLS names the files for mutual TLS; empty means plain TCP.
	TLS TLSConfig
	// JoinTime is the minimum time that the agent stays in the state joining; 0 means DefaultJoinTime.
	JoinTime time.Duration
	// Ready reports whether the agent can receive packets; it stays joining until then. Nil means always.
	Ready func() bool
	// HeartbeatInterval is the time between two heartbeats; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Load returns the number of open flows; nil means 0.
	Load func() uint32
	// Counts returns the number of requests that have ended at the target since the incarnation began, and how many of
	// them failed; nil means that the agent doesn't count. Both must never decrease.
	Counts func() (requests, failures uint64)
	// OnView is called with the view of each service of the target when it has changed, one call at a time.
	OnView func(*view.Service)
	// OnRemoved is called with the name of a service that the target no longer serves; may be nil.
	OnRemoved func(service string)
	// OnAgents is called with the number of live agents of all services when the balancers report a changed one, before
	// the views of the same update and never concurrently with OnView; may be nil.
	OnAgents func(agents uint32)
	// BytesPerSecond is the budget of control traffic; 0 means DefaultBudget. A session delays no traffic, so the
	// budget has no effect on it.
	BytesPerSecond int
	// Log receives session events.
	Log zerolog.Logger
	// Metrics receives the counters; nil discards them.
	Metrics tally.Scope
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// dial opens connections to balancers; nil means TCP. Tests use it to simulate partitions.
	dial dialFunc
}

func (c SessionConfig) withDefaults() SessionConfig {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnRemoved == nil {
		c.OnRemoved = func(string) {}
	}
	if c.OnAgents == nil {
		c.OnAgents = func(uint32) {}
	}
	c.JoinTime = cmp.Or(c.JoinTime, DefaultJoinTime)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBudget)
	c.Self.Role = membership.RoleAgent
	c.Self.State = membership.StateJoining
	return c
}
