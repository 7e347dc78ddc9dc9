package agent

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Arbiter decides what to do with packets; *arbiter.Arbiter implements it. Its methods are called concurrently. The
// slices of an Input are valid only during the call.
type Arbiter interface {
	SetService(now time.Time, s *view.Service) []arbiter.Message
	Packet(now time.Time, in arbiter.Input) arbiter.Decision
	Control(now time.Time, from netip.AddrPort, m arbiter.Message) []arbiter.Message
	Opened(now time.Time, flow uint64) []arbiter.Message
	Ended(now time.Time, flow uint64) []arbiter.Message
	Tick(now time.Time) []arbiter.Message
	Drain(now time.Time)
	Unreachable(now time.Time, agent netip.AddrPort)
	Owns(flow uint64) bool
}

// Deps are the dependencies of an agent.
type Deps struct {
	// Log receives one line for each placed flow, refusal and change of state.
	Log zerolog.Logger
	// Metrics receives the counters; nil discards them.
	Metrics tally.Scope
	// Refusals receives the refusal records; nil discards them.
	Refusals refusal.Recorder
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// NewArbiter creates the arbiter; nil means arbiter.New.
	NewArbiter func(arbiter.Config) Arbiter
	// OnTargetDown is called, at most once a second, when the target accepts no connections; may be nil.
	OnTargetDown func(err error)
	// OnDraining is called once when Drain begins, to announce it; may be nil.
	OnDraining func()
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
	if d.NewArbiter == nil {
		d.NewArbiter = func(c arbiter.Config) Arbiter { return arbiter.New(c) }
	}
	if d.OnTargetDown == nil {
		d.OnTargetDown = func(error) {}
	}
	if d.OnDraining == nil {
		d.OnDraining = func() {}
	}
	return d
}

type noRefusals struct{}

func (noRefusals) Record(refusal.Record) string { return "" }
