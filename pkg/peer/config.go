package peer

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// NodeConfig holds the settings of a Node.
type NodeConfig struct {
	// Self is the balancer's record: ID, Incarnation, Region, DataCentre and PacketAddr are required. ControlAddr may be
	// empty when Listener's address can be called by others.
	Self membership.Member
	// Listener takes the control calls; Serve closes it.
	Listener net.Listener
	// Seeds are control addresses of balancers to start from; may be empty.
	Seeds []string
	// TLS names the files for mutual TLS; empty means plain TCP.
	TLS TLSConfig
	// Table holds the members; nil means a new one. Merge what the store holds before Serve.
	Table *membership.Table
	// Adopter holds the revision; it is offered those of peers. Required. Make the Node before the first offer.
	Adopter *revision.Adopter
	// Mirror keeps refusal records of another process; nil refuses them.
	Mirror func(id string, records []byte) error
	// OnLoad is called with the number of open flows that a watched agent sent with a heartbeat; may be nil.
	OnLoad func(id string, load uint32)
	// BytesPerSecond is the budget of control traffic, both directions together; 0 means DefaultBudget.
	BytesPerSecond int
	// ExchangeInterval is the time between two exchanges; 0 means DefaultExchangeInterval.
	ExchangeInterval time.Duration
	// HeartbeatInterval is the time between two heartbeats; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Detector holds the limits of the failure detector; its Self is set from Self.
	Detector membership.DetectorConfig
	// Seed makes the choice of neighbours repeatable.
	Seed uint64
	// Log takes membership and peer events.
	Log zerolog.Logger
	// Metrics takes the counters; nil drops them.
	Metrics tally.Scope
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// Dial opens connections to peers; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// dial opens connections to peers; nil means Dial. Tests cut peers off by it.
	dial dialFunc
}

func (c NodeConfig) withDefaults() NodeConfig {
	if c.Table == nil {
		c.Table = membership.NewTable(membership.TableConfig{})
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBudget)
	c.ExchangeInterval = cmp.Or(c.ExchangeInterval, DefaultExchangeInterval)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.Self.Role = membership.RoleBalancer
	if c.Self.State == 0 {
		c.Self.State = membership.StateActive
	}
	if c.Self.ControlAddr == "" && c.Listener != nil {
		c.Self.ControlAddr = c.Listener.Addr().String()
	}
	if c.dial == nil {
		c.dial = c.Dial
	}
	c.Detector.Self = c.Self.ID
	return c
}
