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
	// Self is the agent's record: ID, Incarnation, Region, DataCentre, PacketAddr and Service are required, State isn't
	// used.
	Self membership.Member
	// Seeds are control addresses of balancers to start from; at least one.
	Seeds []string
	// TLS names the files for mutual TLS; empty means plain TCP.
	TLS TLSConfig
	// JoinTime is how long the agent stays joining; 0 means DefaultJoinTime.
	JoinTime time.Duration
	// Ready reports whether the agent can take packets; it stays joining until then. Nil means at once.
	Ready func() bool
	// HeartbeatInterval is the time between two heartbeats; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Load returns the number of open flows; nil means 0.
	Load func() uint32
	// Counts returns the requests that have ended at the target since the incarnation began, and how many of them failed;
	// nil means that the agent counts none. Both never fall, and failures are requests too.
	Counts func() (requests, failures uint64)
	// OnView is called with each service of the target when its view has changed, one call at a time.
	OnView func(*view.Service)
	// OnRemoved is called with the name of a service that the target serves no longer; may be nil.
	OnRemoved func(service string)
	// OnAgents is called with the number of live agents of all services when it has changed by the balancers' account, before
	// the views of the same update and not at the same time as OnView; may be nil.
	OnAgents func(agents uint32)
	// BytesPerSecond is the budget of control traffic; 0 means DefaultBudget. A session has no traffic that can wait, so
	// the budget is only reported.
	BytesPerSecond int
	// Log takes session events.
	Log zerolog.Logger
	// Metrics takes the counters; nil drops them.
	Metrics tally.Scope
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// dial opens connections to balancers; nil means TCP. Tests cut balancers off by it.
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
