package balancer

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Deps are what a balancer works with.
type Deps struct {
	// Log takes one line for each new flow and each change of the view.
	Log zerolog.Logger
	// Metrics takes the counters; nil drops them.
	Metrics tally.Scope
	// Refusals takes the refusal records; nil drops them.
	Refusals refusal.Recorder
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnUnreachable is called, at most once a second for each agent, when the agent's host refused a datagram; may be nil.
	OnUnreachable func(agent netip.AddrPort)
}

func (d Deps) withDefaults() Deps {
	if d.Metrics == nil {
		d.Metrics = tally.NoopScope
	}
	if d.Refusals == nil {
		d.Refusals = noRefusals{}
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.OnUnreachable == nil {
		d.OnUnreachable = func(netip.AddrPort) {}
	}
	return d
}

type noRefusals struct{}

func (noRefusals) Record(refusal.Record) string { return "" }
