package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// mayProbe reports whether the agent may be sent a packet of a flow that its target may not hold: its service must be
// one to which the address leads, or led while flows that may be open began, and its region allowed.
func (b *Balancer) mayProbe(a netip.AddrPort, destination netip.AddrPort) bool {
	known := b.agents[a]
	route := b.routes.Route(destination)
	if known == nil || route == nil || !b.holdingServices(destination)[known.service] {
		return false
	}
	return b.routes.Regions(route, known.service).Allow(known.region)
}

// incarnationStart returns when the agent's current incarnation started, as far as the balancer knows.
func (b *Balancer) incarnationStart(a netip.AddrPort) time.Time {
	if known := b.agents[a]; known != nil {
		return known.started
	}
	return time.Time{}
}

// sortCandidates orders the agents that cannot tell whether they hold the flow by likelihood. Agents that were probed
// before come last. An agent that started after the others has seen the least of its target's flows and comes first.
// Agents that started together are in the order in which the flow is offered to them when all are equally busy.
func (b *Balancer) sortCandidates(now time.Time, f *flowState) {
	var newest time.Time
	for _, a := range f.undetermined {
		if at := b.incarnationStart(a); at.After(newest) {
			newest = at
		}
	}
	latest := func(a netip.AddrPort) bool { return newest.Sub(b.incarnationStart(a)) <= StartedTogetherWindow }
	probed := func(a netip.AddrPort) bool { return slices.Contains(f.probed, a) }
	slices.SortFunc(f.undetermined, func(x, y netip.AddrPort) int {
		return cmp.Or(
			compareTrue(!probed(x), !probed(y)),
			compareTrue(latest(x), latest(y)),
			cmp.Compare(tieBreak(f.hash, x), tieBreak(f.hash, y)),
		)
	})
	// A balancer that has run for a while would know if the latest ones had been probed.
	knows := len(f.probed) == 0 && now.Sub(b.started) >= ProbeWindow
	if len(f.undetermined) > 1 && !(knows && latest(f.undetermined[1])) {
		b.moveOldestToSecond(f, latest)
	}
}

// moveOldestToSecond makes the unprobed agent that started first the second candidate, unless all started together.
// While agents restart repeatedly, the latest ones may have been probed in an earlier incarnation; an old one that cannot
// tell was not probed since its start, and says so from its probe on. So each agent that stays up is probed, however
// often the others restart.
func (b *Balancer) moveOldestToSecond(f *flowState, latest func(netip.AddrPort) bool) {
	oldest := -1
	for i, a := range f.undetermined {
		if latest(a) || slices.Contains(f.probed, a) {
			continue
		}
		if oldest < 0 || b.incarnationStart(a).Before(b.incarnationStart(f.undetermined[oldest])) {
			oldest = i
		}
	}
	if oldest <= 1 {
		return
	}
	picked := f.undetermined[oldest]
	copy(f.undetermined[2:oldest+1], f.undetermined[1:oldest])
	f.undetermined[1] = picked
}

// probeNext sends the first held packet to the next agent that may hold the flow.
func (b *Balancer) probeNext(now time.Time, f *flowState) {
	if len(f.undetermined) == 0 || len(f.held) == 0 {
		b.markLost(now, f)
		return
	}
	if f.probes >= MaxProbes {
		b.scheduleProbes(now, f)
		return
	}
	f.asked = f.undetermined[0]
	f.probed = append(f.probed, f.asked)
	f.undetermined = f.undetermined[1:]
	f.probes++
	f.phase, f.since, f.lastProbe = probing, now, now
	raw := f.held[0]
	f.held = f.held[1:]
	b.probes = append(b.probes, due{flow: f, at: now.Add(b.probeTimeout()), phaseStart: now})
	b.forward(now, f, f.asked, raw, true, dsrpb.Patience_PATIENCE_QUEUE)
}

// scheduleProbes keeps the held packets and the remaining candidates until the flow may be probed again. The caller's next
// retransmission may come more than half a window later.
func (b *Balancer) scheduleProbes(now time.Time, f *flowState) {
	candidates, held := f.undetermined, f.held
	b.markLost(now, f)
	f.undetermined, f.held = candidates, held
	b.probeWindows = append(b.probeWindows, due{flow: f, at: f.lastProbe.Add(ProbeWindow), phaseStart: now})
}

// probeWindowOver goes on with the candidates of a flow that was not found within its last probes.
func (b *Balancer) probeWindowOver(now time.Time, d due) {
	f := d.flow
	if f.phase == lost && d.phaseStart.Equal(f.since) && len(f.undetermined) > 0 {
		f.probes = 0
		b.probeNext(now, f)
	}
}

// probeTimedOut probes the next agent when one has not said whether its target returned the packet.
func (b *Balancer) probeTimedOut(now time.Time, d due) {
	if d.flow.phase != probing || !d.phaseStart.Equal(d.flow.since) {
		return
	}
	if d.flow.group.packet != nil {
		b.probeNextGroup(now, d.flow)
		return
	}
	b.probeNext(now, d.flow)
}
