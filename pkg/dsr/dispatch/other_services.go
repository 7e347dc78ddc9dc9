package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// The routes that a balancer knows do not prove which services hold flows to an address. A route may have led elsewhere
// before the balancer started, in a configuration that it skipped, or in one that it has not received yet. Routes only say
// which agents are asked first: a flow is gone once the agents of all other services have answered too. One answer of an
// agent that knows all flows of its target excludes all flows to an address.

// requiredAgents are the agents of all services that must answer before a flow is gone.
type requiredAgents struct {
	// at is when the list was made.
	at     time.Time
	agents []netip.AddrPort
}

// othersExclude reports whether no agent of another service can hold a flow that those of its address's services have
// excluded.
func (b *Balancer) othersExclude(now time.Time, f *flowState) bool {
	return len(b.otherHolders(now, f)) == 0
}

// otherHolders returns the agents of all services that may hold the flow as far as they have answered. One that cannot tell
// counts while a route may have led to its service unknown to the balancer.
func (b *Balancer) otherHolders(now time.Time, f *flowState) []netip.AddrPort {
	var left []netip.AddrPort
	address := flow.AddrHash(f.key.Destination)
	routesKnown := b.directory.RoutesKnown(now)
	for _, addr := range b.requiredAgents(now) {
		if a := b.agents[addr]; a == nil || a.mayHoldElsewhere(f.question, address, routesKnown) {
			left = append(left, addr)
		}
	}
	if routesKnown {
		return f.evidence.Unanswered(left, b.incarnationOf)
	}
	return f.evidence.Unexcluded(left, b.incarnationOf)
}

// mayHoldElsewhere reports whether the agent's last statement leaves open that its target holds a flow to an address that
// does not lead to its service.
func (a *agent) mayHoldElsewhere(question, address uint32, routesKnown bool) bool {
	switch {
	case !a.holdings.covers(question, a.incarnation):
		return true
	case a.holdings.known:
		return a.holdings.contains(address)
	}
	return !routesKnown
}

// requiredAgents returns the agents of all services that are alive and may hold flows and, while the routes of before are not
// known, the silent ones of the directory too.
func (b *Balancer) requiredAgents(now time.Time) []netip.AddrPort {
	if r := b.holders.required; r != nil && now.Sub(r.at) < sweepInterval {
		return r.agents
	}
	v := b.viewOf(now, b.holders.services)
	r := &requiredAgents{at: now, agents: v.unlisted}
	routesKnown := b.directory.RoutesKnown(now)
	for _, addr := range v.agents {
		a := b.agents[addr]
		if !routesKnown || a != nil && a.isAlive(now) {
			r.agents = append(r.agents, addr)
		}
	}
	b.holders.required = r
	return r.agents
}

// othersToAsk returns the agents of other services that are asked about a flow: those that hold flows to its address and,
// as one answer covers all flows, the rest at intervals.
func (b *Balancer) othersToAsk(now time.Time, f *flowState) []netip.AddrPort {
	var out []netip.AddrPort
	for _, addr := range b.otherHolders(now, f) {
		if a := b.agents[addr]; a != nil && (a.hasStated(f.question) || a.mayAskHoldings(now)) {
			out = append(out, addr)
		}
	}
	return out
}

// hasStated reports whether the agent's statement covers a flow with the given question. One that leaves open whether its
// target holds the flow is asked about the flow itself.
func (a *agent) hasStated(question uint32) bool {
	return a.holdings.covers(question, a.incarnation) && a.holdings.known
}
