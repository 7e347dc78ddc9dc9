package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evidence"
)

// probeGroup is the state of a flow of which several agents are probed at once.
type probeGroup struct {
	// packet is the packet that is offered, nil while no group is probed.
	packet []byte
	// step is the size of the next group.
	step int
	// probed are the agents that were probed in the current search, outstanding those that have neither accepted nor
	// returned it.
	probed      []netip.AddrPort
	outstanding []netip.AddrPort
}

// takeOutstanding reports whether the agent was probed and has not answered, and forgets it.
func (g *probeGroup) takeOutstanding(a netip.AddrPort) bool {
	i := slices.Index(g.outstanding, a)
	if i < 0 {
		return false
	}
	g.outstanding = slices.Delete(g.outstanding, i, i+1)
	return true
}

// probeGroups starts to offer the first held packet to all agents that may hold the flow. It returns false when there are
// none that were not probed, or too many.
func (b *Balancer) probeGroups(now time.Time, f *flowState, candidates []netip.AddrPort) bool {
	if b.cfg.Without.ProbeAll || len(f.held) == 0 || len(candidates) > MaxGroupProbes {
		return false
	}
	if !b.groupProbes.refill(now, GroupProbesPerSecond, GroupProbeBurst) {
		return false
	}
	f.undetermined = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool {
		return slices.Contains(f.group.probed, a) || !b.mayProbe(a, f.key.Destination)
	})
	if len(f.undetermined) == 0 {
		return false
	}
	b.sortCandidates(now, f)
	b.nearFirst(f.undetermined)
	f.group.packet, f.group.step = f.held[0], ProbeGroup
	f.held = f.held[1:]
	f.asked = netip.AddrPort{}
	b.reportDecision(now, EventProbed, f, f.undetermined[0], dsrpb.Verdict_VERDICT_UNKNOWN)
	b.probeNextGroup(now, f)
	return true
}

// nearFirst moves the agents of the balancer's data centre to the front: new flows are offered to them first.
func (b *Balancer) nearFirst(agents []netip.AddrPort) {
	near := func(addr netip.AddrPort) bool { return b.agents[addr].dataCentre == b.cfg.DataCentre }
	slices.SortStableFunc(agents, func(x, y netip.AddrPort) int { return compareTrue(near(x), near(y)) })
}

// probeNextGroup offers the packet to the next, larger group.
func (b *Balancer) probeNextGroup(now time.Time, f *flowState) {
	n := min(f.group.step, len(f.undetermined))
	if n == 0 {
		b.groupsProbed(now, f)
		return
	}
	group := f.undetermined[:n]
	f.undetermined = f.undetermined[n:]
	f.group.step *= ProbeGrowth
	f.group.probed = append(f.group.probed, group...)
	f.group.outstanding = append(f.group.outstanding, group...)
	f.phase, f.since, f.lastProbe = probing, now, now
	b.groupProbes.left -= float64(n)
	b.probes = append(b.probes, due{flow: f, at: now.Add(b.probeTimeout()), phaseStart: now})
	for _, a := range group {
		b.forward(now, f, a, f.group.packet, true, dsrpb.Patience_PATIENCE_QUEUE)
	}
}

// groupProbeReturned records that an agent has returned the packet. The packet itself is not passed on: the others have
// it too.
func (b *Balancer) groupProbeReturned(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	if f.evidence != nil && m.Verdict == dsrpb.Verdict_VERDICT_NOT_HELD {
		f.evidence.Record(now, from, evidence.Returned, b.incarnationOf)
	}
	if f.phase == probing && f.group.packet != nil && len(f.group.outstanding) == 0 {
		b.probeNextGroup(now, f)
	}
}

// groupsProbed goes on when no agent has accepted the packet: the answers may show that the flow is gone.
func (b *Balancer) groupsProbed(now time.Time, f *flowState) {
	f.held = append([][]byte{f.group.packet}, f.held...)
	f.group.packet = nil
	if !b.decideByEvidence(now, f) {
		b.markLost(now, f)
	}
}

// endGroup ends the probes of a flow whose owner is known. An owner that was not probed has not got the packet.
func (f *flowState) endGroup(owner netip.AddrPort) {
	probed := f.group.takeOutstanding(owner)
	if f.group.packet != nil && !probed {
		f.held = append([][]byte{f.group.packet}, f.held...)
	}
	f.group.packet = nil
}

// firstHeld returns the first packet that waits for the owner, nil when there is none.
func (f *flowState) firstHeld() []byte {
	if f.group.packet != nil {
		return f.group.packet
	}
	if len(f.held) == 0 {
		return nil
	}
	return f.held[0]
}

func (f *flowState) isOwner(a netip.AddrPort) bool {
	return slices.ContainsFunc(f.owners, func(o owner) bool { return o.agent == a })
}
