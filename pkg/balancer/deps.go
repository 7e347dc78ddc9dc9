package balancer

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Deps are the dependencies of a balancer.
type Deps struct {
	// Log receives one line for each new flow, refusal and unreachable agent.
	Log zerolog.Logger
	// Metrics receives the counters; nil discards them.
	Metrics tally.Scope
	// Refusals receives the refusal records; nil discards them.
	Refusals refusal.Recorder
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnUnreachable is called, at most once per suspectTime for each agent, when the agent's host refused a datagram; may
	// be nil.
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
