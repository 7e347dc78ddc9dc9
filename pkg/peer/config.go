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
	// Self is the balancer's record: ID, Incarnation, Region, DataCentre and PacketAddr are required. ControlAddr may
	// be empty when others can connect to Listener's address as it is.
	Self membership.Member
	// Listener accepts the control connections; Serve closes it.
	Listener net.Listener
	// Seeds are control addresses of balancers to join; may be empty.
	Seeds []string
	// TLS names the files for mutual TLS; empty means plain TCP.
	TLS TLSConfig
	// Table holds the members; nil means a new one. The stored members should be merged into it before Serve.
	Table *membership.Table
	// Adopter holds the adopted revision and is offered the revisions of peers. Required. Call NewNode before the first
	// offer.
	Adopter *revision.Adopter
	// Mirror stores refusal records of another process; nil rejects them.
	Mirror func(id string, records []byte) error
	// OnLoad is called for each received heartbeat with the number of open flows that it reports; may be nil.
	OnLoad func(id string, load uint32)
	// BytesPerSecond is the budget of control traffic in both directions together; 0 means DefaultBudget.
	BytesPerSecond int
	// ExchangeInterval is the time between two exchanges; 0 means DefaultExchangeInterval.
	ExchangeInterval time.Duration
	// HeartbeatInterval is the time between two heartbeats; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Detector holds the settings of the failure detector; its Self is set from Self.
	Detector membership.DetectorConfig
	// Seed seeds the random choice of neighbours, together with the ID.
	Seed uint64
	// Log receives membership and peer events.
	Log zerolog.Logger
	// Metrics receives the counters; nil discards them.
	Metrics tally.Scope
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// Dial opens connections to peers; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// dial opens connections to peers; nil means Dial. Tests use it to simulate partitions.
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
