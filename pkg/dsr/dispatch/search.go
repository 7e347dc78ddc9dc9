package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// maySearch reports whether the budget of messages allows a search. A search may overdraw it, so that one that asks more
// agents than the burst is still made.
func (b *Balancer) maySearch(now time.Time) bool {
	b.searchMessages = min(SearchBurst, b.searchMessages+SearchMessagesPerSecond*now.Sub(b.searchedAt).Seconds())
	b.searchedAt = now
	return b.searchMessages >= 1
}

// search asks the agents who holds the flow of a packet whose owner is not known. A packet that finds the budget spent is
// dropped; its sender repeats it.
func (b *Balancer) search(now time.Time, f *flowState, s segment.Segment) {
	if f.phase == lost && !f.since.IsZero() && now.Sub(f.since) < LocateRetryInterval {
		return
	}
	if !b.maySearch(now) {
		return
	}
	f.hold(s.Raw)
	f.waited = false
	b.searchHeld(now, f)
}

// searchHeld asks for the owner of the packets that are held.
func (b *Balancer) searchHeld(now time.Time, f *flowState) {
	f.phase, f.unknown, f.unanswered, f.wide = locating, nil, nil, false
	f.unasked, f.step = b.likelyOwners(f), SearchInitialAgents
	b.askMore(now, f)
}

// likelyOwners are the agents of the services to which a flow's address leads, those first to which it would be offered first when all
// targets are free.
func (b *Balancer) likelyOwners(f *flowState) []netip.AddrPort {
	route := b.routes.Route(f.key.Destination)
	if route == nil {
		return nil
	}
	var agents []*agent
	for i, share := range route.Shares {
		named := slices.ContainsFunc(route.Shares[:i], func(s configuration.Share) bool { return s.Service == share.Service })
		if !named {
			agents = append(agents, b.services[share.Service]...)
		}
	}
	slices.SortFunc(agents, func(x, y *agent) int {
		return cmp.Or(
			compareTrue(!x.suspect, !y.suspect),
			compareTrue(x.dataCentre == b.cfg.DataCentre, y.dataCentre == b.cfg.DataCentre),
			cmp.Compare(tieOf(f.hash, x.addr), tieOf(f.hash, y.addr)),
		)
	})
	out := make([]netip.AddrPort, len(agents))
	for i, a := range agents {
		out[i] = a.addr
	}
	return out
}

// leadsTo reports whether the agent's service is one of the route's.
func leadsTo(route *configuration.Route, a *agent) bool {
	if route == nil {
		return false
	}
	return slices.ContainsFunc(route.Shares, func(s configuration.Share) bool { return s.Service == a.service })
}

// askMore asks the next agents, more each time, and those again that have not answered; it ends the search when there are none left.
func (b *Balancer) askMore(now time.Time, f *flowState) {
	if len(f.unasked) == 0 {
		b.searched(now, f)
		return
	}
	n := min(f.step, len(f.unasked))
	f.unanswered = append(f.unanswered, f.unasked[:n]...)
	f.unasked = f.unasked[n:]
	f.step *= SearchGrowth
	f.rounds = 0
	b.askAgain(now, f)
}

// askAgain asks the agents that have not answered.
func (b *Balancer) askAgain(now time.Time, f *flowState) {
	f.since = now
	f.rounds++
	message := dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_LOCATE,
		Flow:          f.hash,
		Configuration: b.routes.Version(),
	}
	message.SetKey(f.key)
	for _, to := range f.unanswered {
		b.out.ToAgent(to, &message)
	}
	b.searchMessages -= float64(len(f.unanswered))
	b.locates = append(b.locates, due{flow: f, at: now.Add(b.locateTimeout()), begun: now})
}

// missing reports whether an agent has not answered that was heard of a moment ago.
func (b *Balancer) missing(now time.Time, f *flowState) bool {
	return slices.ContainsFunc(f.unanswered, func(addr netip.AddrPort) bool {
		a := b.agents[addr]
		return a != nil && now.Sub(a.heard) <= AgentSilenceTimeout
	})
}

// located takes an agent's answer to a search.
func (b *Balancer) located(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	if m.Verdict == dsrpb.Verdict_VERDICT_HELD && (f.phase == locating || f.phase == probing || f.phase == lost) {
		b.accepted(now, f, from, m)
	}
	if f.phase != locating {
		return
	}
	i := slices.Index(f.unanswered, from)
	if i < 0 {
		return
	}
	f.unanswered = slices.Delete(f.unanswered, i, i+1)
	if m.Verdict == dsrpb.Verdict_VERDICT_UNKNOWN {
		f.unknown = append(f.unknown, from)
	}
	if len(f.unanswered) == 0 {
		b.askMore(now, f)
	}
}

// searched goes on when no agent that was asked holds the flow: first to all other agents, since an older route may have led
// to them, then to those that cannot tell, which are handed a packet.
func (b *Balancer) searched(now time.Time, f *flowState) {
	if b.widen(now, f) {
		return
	}
	if now.Sub(f.probed) > ProbeWindow {
		f.probes = 0
	}
	if f.missed.IsZero() {
		f.missed = now
	}
	if b.missing(now, f) || now.Sub(b.started) < SettleTime || now.Sub(f.missed) < SettleTime {
		b.searchLater(now, f)
		return
	}
	f.unknown = slices.DeleteFunc(f.unknown, func(a netip.AddrPort) bool { return !b.serves(a, f.key.Destination) })
	b.sortCandidates(f)
	b.probeNext(now, f)
}

// searchLater searches once more when every agent must be known. Packets of a flow that nobody answers come 1.6 s apart and by any balancer:
// were each dropped at once, the flow of a living target could stay silent while balancers are restarted every few seconds.
func (b *Balancer) searchLater(now time.Time, f *flowState) {
	if f.waited {
		b.lose(now, f)
		return
	}
	held := f.held
	b.lose(now, f)
	f.held, f.waited = held, true
	b.later = append(b.later, due{flow: f, at: now.Add(SettleTime), begun: now})
}

// searchAgain searches for the owner of packets that were kept.
func (b *Balancer) searchAgain(now time.Time, d due) {
	f := d.flow
	if f.phase == lost && len(f.held) > 0 && d.begun.Equal(f.since) && b.maySearch(now) {
		b.searchHeld(now, f)
	}
}

// sortCandidates orders the agents that cannot tell whether they hold the flow by how likely they do. Those come last that were handed
// a packet of it before. One that started after the others has seen the least of its target's flows. Of those that started together, the
// one comes first that a new flow would be offered to when all are equally busy.
func (b *Balancer) sortCandidates(f *flowState) {
	var newest time.Time
	for _, a := range f.unknown {
		if at := b.startOf(a); at.After(newest) {
			newest = at
		}
	}
	latest := func(a netip.AddrPort) bool { return newest.Sub(b.startOf(a)) <= StartedTogetherWindow }
	handed := func(a netip.AddrPort) bool { return slices.Contains(f.handed, a) }
	slices.SortFunc(f.unknown, func(x, y netip.AddrPort) int {
		return cmp.Or(
			compareTrue(!handed(x), !handed(y)),
			compareTrue(latest(x), latest(y)),
			cmp.Compare(tieOf(f.hash, x), tieOf(f.hash, y)),
		)
	})
	b.drawSecond(f)
}

// drawSecond puts another agent in the second place when the first two were not the owner, a different one in each life of the balancer:
// while balancers and agents restart again and again, the order of likelihood alone would name the same few for ever, and the flow of a
// living target stay silent.
func (b *Balancer) drawSecond(f *flowState) {
	if len(f.handed) == 0 || len(f.unknown) <= MaxProbes {
		return
	}
	rest := f.unknown[1:]
	fresh := len(rest)
	if i := slices.IndexFunc(rest, func(a netip.AddrPort) bool { return slices.Contains(f.handed, a) }); i > 0 {
		fresh = i
	}
	i := int(flow.Mix(f.hash^uint64(b.started.UnixNano())) % uint64(fresh))
	rest[0], rest[i] = rest[i], rest[0]
}

// compareTrue sorts true before false.
func compareTrue(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// widen asks the agents of other services, and the silent ones once more. A flow that stays lost is looked for everywhere
// only until every agent must be known.
func (b *Balancer) widen(now time.Time, f *flowState) bool {
	settled := !f.missed.IsZero() && now.Sub(f.missed) >= SettleTime
	if f.wide || settled || !b.maySearch(now) {
		return false
	}
	route := b.routes.Route(f.key.Destination)
	for _, a := range b.order {
		if !leadsTo(route, a) {
			f.unasked = append(f.unasked, a.addr)
		}
	}
	if len(f.unasked) == 0 {
		return false
	}
	f.wide = true
	b.askMore(now, f)
	return true
}

// serves reports whether the agent's service is one to which the address leads, in a region that its flows may reach. Nobody else is
// handed a packet on suspicion.
func (b *Balancer) serves(a netip.AddrPort, destination netip.AddrPort) bool {
	known := b.agents[a]
	route := b.routes.Route(destination)
	return known != nil && leadsTo(route, known) && b.routes.Regions(route, known.service).Allow(known.region)
}

// startOf is when the balancer first heard of the agent's present life.
func (b *Balancer) startOf(a netip.AddrPort) time.Time {
	if known := b.agents[a]; known != nil {
		return known.started
	}
	return time.Time{}
}

// probeNext hands the first waiting packet to the next agent that may hold the flow.
func (b *Balancer) probeNext(now time.Time, f *flowState) {
	if len(f.unknown) == 0 || f.probes >= MaxProbes || len(f.held) == 0 {
		b.lose(now, f)
		return
	}
	f.asked = f.unknown[0]
	f.handed = append(f.handed, f.asked)
	f.unknown = f.unknown[1:]
	f.probes++
	f.phase, f.since, f.probed = probing, now, now
	raw := f.held[0]
	f.held = f.held[1:]
	b.probes = append(b.probes, due{flow: f, at: now.Add(b.probeTimeout()), begun: now})
	b.forward(now, f, f.asked, raw, true, dsrpb.Patience_PATIENCE_QUEUE)
}

// lose drops the packets of a flow that nobody holds. The caller is told nothing: an agent that was not reached may hold it.
func (b *Balancer) lose(now time.Time, f *flowState) {
	f.phase, f.since, f.held, f.unknown, f.unasked = lost, now, nil, nil, nil
	b.decided(now, EventLost, f, netip.AddrPort{}, dsrpb.Verdict_VERDICT_UNSPECIFIED)
}

// searchOverdue ends a search that not every agent has answered.
func (b *Balancer) searchOverdue(now time.Time, d due) {
	f := d.flow
	if f.phase != locating || !d.begun.Equal(f.since) {
		return
	}
	switch {
	case len(f.unasked) > 0 && !b.maySearch(now):
		b.lose(now, f)
	case len(f.unasked) > 0:
		b.askMore(now, f)
	case f.rounds < LocateRounds && b.missing(now, f) && b.maySearch(now):
		b.askAgain(now, f)
	default:
		b.searched(now, f)
	}
}

// probeOverdue goes on when an agent has not said what became of the packet.
func (b *Balancer) probeOverdue(now time.Time, d due) {
	if d.flow.phase == probing && d.begun.Equal(d.flow.since) {
		b.probeNext(now, d.flow)
	}
}
