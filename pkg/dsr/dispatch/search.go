package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// maySearch reports whether the search budget allows a search. A search may overdraw the budget, so that one that asks
// more agents than the burst is still possible.
func (b *Balancer) maySearch(now time.Time) bool {
	b.searchBudget = min(SearchBurst, b.searchBudget+SearchMessagesPerSecond*now.Sub(b.searchBudgetAt).Seconds())
	b.searchBudgetAt = now
	return b.searchBudget >= 1
}

// search holds a packet and asks agents whether their targets hold its flow. A packet that finds the budget used up is
// dropped; its sender retransmits it.
func (b *Balancer) search(now time.Time, f *flowState, s segment.Segment) {
	if f.phase == lost && !f.since.IsZero() && now.Sub(f.since) < LocateRetryInterval {
		return
	}
	if !b.mayStartSearch(now) {
		return
	}
	f.hold(s.Raw)
	f.retried = false
	f.recordMissing(s.Acknowledgement)
	b.searchHeld(now, f)
}

// searchHeld starts a search for the owner of the held packets.
func (b *Balancer) searchHeld(now time.Time, f *flowState) {
	f.phase, f.undetermined, f.unanswered, f.widened = locating, nil, nil, false
	b.startEvidence(now, f)
	f.missed, f.rechecked = false, false
	if now.Sub(f.lastProbe) > ProbeWindow {
		f.group.probed = nil
	}
	f.unasked, f.step = b.likelyOwners(f), SearchInitialAgents
	if f.evidence != nil {
		f.unasked = f.evidence.Unexcluded(f.unasked, b.incarnationOf)
	}
	if f.evidence != nil && b.mayAsk(now, f) && !b.maySearch(now) {
		// Questions wait for the budget and are merged: asking all agents costs no further messages, and one wait instead
		// of one for each step.
		f.unasked = append(f.unasked, b.otherAgents(f)...)
		f.step, f.widened = max(1, len(f.unasked)), true
	}
	b.askMore(now, f)
}

// likelyOwners returns the agents of the services that may hold flows to the flow's address, in the order in which the flow
// is offered to them when all targets are free.
func (b *Balancer) likelyOwners(f *flowState) []netip.AddrPort {
	if b.routes.Route(f.key.Destination) == nil {
		return nil
	}
	var agents []*agent
	for service := range b.holdingServices(f.key.Destination) {
		agents = append(agents, b.services[service]...)
	}
	slices.SortFunc(agents, func(x, y *agent) int {
		return cmp.Or(
			compareTrue(!x.suspect, !y.suspect),
			compareTrue(x.dataCentre == b.cfg.DataCentre, y.dataCentre == b.cfg.DataCentre),
			cmp.Compare(tieBreak(f.hash, x.addr), tieBreak(f.hash, y.addr)),
		)
	})
	out := make([]netip.AddrPort, len(agents))
	for i, a := range agents {
		out[i] = a.addr
	}
	return out
}

// routeIncludes reports whether the agent's service is one of the route's.
func routeIncludes(route *configuration.Route, a *agent) bool {
	if route == nil {
		return false
	}
	return slices.ContainsFunc(route.Shares, func(s configuration.Share) bool { return s.Service == a.service })
}

// askMore asks the next, larger group of agents together with those that have not answered. It ends the search when no
// agent is left to ask.
func (b *Balancer) askMore(now time.Time, f *flowState) {
	if len(f.unasked) == 0 {
		b.ownerNotFound(now, f)
		return
	}
	n := min(f.step, len(f.unasked))
	f.unanswered = append(f.unanswered, f.unasked[:n]...)
	f.unasked = f.unasked[n:]
	f.step *= SearchGrowth
	f.rounds = 0
	b.askAgain(now, f)
}

// askAgain asks all agents that have not answered.
func (b *Balancer) askAgain(now time.Time, f *flowState) {
	f.since = now
	f.rounds++
	timeout := b.locateTimeout()
	for _, to := range f.unanswered {
		if b.ask(now, to, f) {
			timeout = b.locateTimeout() + CollectTime
		}
	}
	b.locates = append(b.locates, due{flow: f, at: now.Add(timeout), phaseStart: now})
}

// awaitsLiveAgent reports whether an agent that has not answered was seen within AgentSilenceTimeout.
func (b *Balancer) awaitsLiveAgent(now time.Time, f *flowState) bool {
	return slices.ContainsFunc(f.unanswered, func(addr netip.AddrPort) bool {
		a := b.agents[addr]
		return a != nil && now.Sub(a.lastSeen) <= AgentSilenceTimeout
	})
}

// located handles an agent's answer to a search.
func (b *Balancer) located(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	b.recordEvidence(now, f, from, m)
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
		f.undetermined = append(f.undetermined, from)
	}
	if len(f.unanswered) == 0 || b.isDecided(now, f) || b.awaitsOnlySilent(now, f) {
		b.askMore(now, f)
	}
}

// ownerNotFound continues when no agent that was asked holds the flow: first with all other agents, since an older
// route may have led to them, then by probing the agents that cannot tell.
func (b *Balancer) ownerNotFound(now time.Time, f *flowState) {
	if f.evidence == nil && b.widen(now, f) {
		return
	}
	if now.Sub(f.lastProbe) > ProbeWindow {
		f.probes = 0
	}
	if f.firstMissed.IsZero() {
		f.firstMissed = now
	}
	f.missed = true
	if b.decideByEvidence(now, f) {
		return
	}
	if b.awaitsLiveAgent(now, f) || now.Sub(b.started) < SettleTime || now.Sub(f.firstMissed) < SettleTime {
		b.scheduleSecondSearch(now, f)
		return
	}
	f.undetermined = slices.DeleteFunc(f.undetermined, func(a netip.AddrPort) bool { return !b.mayProbe(a, f.key.Destination) })
	b.sortCandidates(now, f)
	b.probeNext(now, f)
}

// scheduleSecondSearch keeps the held packets for one more search, by which time every agent must be known. The caller
// retransmits every 1.6 s through any balancer: if each packet were dropped at once, the flow of a living target could
// get no answer while balancers are restarted every few seconds.
func (b *Balancer) scheduleSecondSearch(now time.Time, f *flowState) {
	if f.retried {
		b.markLost(now, f)
		return
	}
	held := f.held
	b.markLost(now, f)
	f.held, f.retried = held, true
	b.secondSearches = append(b.secondSearches, due{flow: f, at: now.Add(SettleTime), phaseStart: now})
}

// secondSearch searches for the owner of the packets that were kept.
func (b *Balancer) secondSearch(now time.Time, d due) {
	f := d.flow
	if f.phase == lost && len(f.held) > 0 && d.phaseStart.Equal(f.since) && b.mayStartSearch(now) {
		b.searchHeld(now, f)
	}
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

// widen extends the search to the agents of other services, and to unresponsive ones once more. A flow that stays lost
// is searched for everywhere only until every agent and all routes under which it may have begun must be known.
func (b *Balancer) widen(now time.Time, f *flowState) bool {
	settled := !f.firstMissed.IsZero() && now.Sub(f.firstMissed) >= SettleTime && b.directory.RoutesKnown(now)
	if f.widened || settled && f.evidence == nil || !b.mayAsk(now, f) {
		return false
	}
	f.unasked = append(f.unasked, b.otherAgents(f)...)
	if len(f.unasked) == 0 {
		return false
	}
	f.widened = true
	b.askMore(now, f)
	return true
}

// otherAgents returns the agents of services that are not on the flow's route.
func (b *Balancer) otherAgents(f *flowState) []netip.AddrPort {
	route := b.routes.Route(f.key.Destination)
	var out []netip.AddrPort
	for _, a := range b.order {
		if !routeIncludes(route, a) {
			out = append(out, a.addr)
		}
	}
	return out
}

// markLost drops the held packets of a flow without a known owner. The caller is not sent a reset: an agent that was
// not reached may hold the flow.
func (b *Balancer) markLost(now time.Time, f *flowState) {
	f.phase, f.since, f.held, f.undetermined, f.unasked = lost, now, nil, nil, nil
	f.group.packet = nil
	b.reportDecision(now, EventLost, f, netip.AddrPort{}, dsrpb.Verdict_VERDICT_UNSPECIFIED)
}

// searchTimedOut continues or ends a search that not every agent has answered in time.
func (b *Balancer) searchTimedOut(now time.Time, d due) {
	f := d.flow
	if f.phase != locating || !d.phaseStart.Equal(f.since) {
		return
	}
	switch {
	case len(f.unasked) > 0 && !b.mayAsk(now, f):
		b.markLost(now, f)
	case len(f.unasked) > 0:
		b.askMore(now, f)
	case f.evidence == nil && f.rounds < LocateRounds && b.awaitsLiveAgent(now, f) && b.mayAsk(now, f):
		b.askAgain(now, f)
	default:
		b.ownerNotFound(now, f)
	}
}
