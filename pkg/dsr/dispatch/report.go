package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// reportDecision reports a decision about a flow and an agent.
func (b *Balancer) reportDecision(now time.Time, ev Event, f *flowState, about netip.AddrPort, v dsrpb.Verdict) {
	d := Decision{
		Event:         ev,
		Key:           f.key,
		Hash:          f.hash,
		Service:       f.service,
		Agent:         about,
		Verdict:       v,
		Tried:         f.tries,
		Waited:        now.Sub(f.arrived),
		Expected:      f.expected,
		Configuration: b.routes.Version(),
	}
	if c := b.comparisons[f.service]; c != nil {
		d.Imbalance = c.imbalance
	}
	if a := b.agents[about]; a != nil {
		e := f.offer
		if e.agent != about {
			e = estimateOf(now, a)
		}
		d.Load, d.ReportAge = e.load, e.reportAge
	}
	b.out.Decided(d)
}

// loadEstimate is what the balancer assumed about an agent's target.
type loadEstimate struct {
	agent netip.AddrPort
	// load is in requests per slot, including one new request; reportAge is the age of the report behind it.
	load      float64
	reportAge time.Duration
}

func estimateOf(now time.Time, a *agent) loadEstimate {
	return loadEstimate{agent: a.addr, load: a.load(now), reportAge: now.Sub(a.reported)}
}

// refuse refuses a flow. The caller is sent a reset only when nobody else can have opened the flow.
func (b *Balancer) refuse(now time.Time, f *flowState, reason refusal.Reason) {
	f.packet, f.held = nil, nil
	f.reset = !f.uncertain && now.Sub(f.arrived) < FirstRetransmission
	if f.reset {
		b.out.Reset(f.key, 0)
	}
	run := refusal.RunNo
	if f.uncertain {
		// An agent that did not answer may have opened the flow, or another balancer may have.
		run = refusal.RunUnknown
	}
	b.recordRefusal(now, f, reason, run, f.reset)
}

// recordRefusal reports a flow that was refused or reset; notified is set when its caller was sent a reset.
func (b *Balancer) recordRefusal(now time.Time, f *flowState, reason refusal.Reason, run refusal.Run, notified bool) {
	f.phase, f.since = refused, now
	b.callers.Failed(now, f.key.Source.Addr())
	b.out.Refused(Refusal{
		Key:           f.key,
		Hash:          f.hash,
		Service:       f.service,
		Reason:        reason,
		Run:           run,
		Notified:      notified,
		Tried:         f.tries,
		Waited:        now.Sub(f.arrived),
		Configuration: b.routes.Version(),
	})
}
