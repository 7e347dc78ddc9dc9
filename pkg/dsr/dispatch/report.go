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
		Configuration: b.routes.Version(),
	}
	if a := b.agents[about]; a != nil {
		d.Load, d.ReportAge = a.load(now), now.Sub(a.reported)
	}
	b.out.Decided(d)
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
