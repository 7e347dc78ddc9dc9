package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
)

// joinTimePerAgent is how much longer a balancer may not have heard of an agent that has joined, for each agent, beyond
// SettleTime at least: an agent announces itself to a balancer that has not answered at roster.EagerRate for all balancers,
// of which there are no more than agents, and one announcement may be lost.
const joinTimePerAgent = 2 * time.Second / roster.EagerRate

// holders are the agents that may hold open flows, as derived from the directory.
type holders struct {
	// services are the names of all services with such agents.
	services map[string]bool
	// recorded are the agents that are or were in the directory.
	recorded map[netip.AddrPort]bool
	// views are the agents that may hold flows to each address, required those that must answer before one is gone.
	views    map[netip.AddrPort]*holderView
	required *requiredAgents
}

// expire has the views derived again.
func (h *holders) expire() {
	clear(h.views)
	h.required = nil
}

// holderView are the agents that may hold flows to an address as far as its routes are known.
type holderView struct {
	// at is when the view was derived.
	at     time.Time
	agents []netip.AddrPort
	// unlisted are the living agents that are not in the directory since they are not known to have taken flows, but for
	// those that said that they hold none: they are asked, but may have gone with their VMs.
	unlisted []netip.AddrPort
	// current is set when none of them is of an earlier release.
	current bool
	// joinTime is how long an agent that has joined may be unknown.
	joinTime time.Duration
}

// Directory returns the agents that may hold open flows, which the balancer records from their announcements.
func (b *Balancer) Directory() *directory.Directory { return b.directory }

// LoadDirectory adds the agents that were known before the balancer's start.
func (b *Balancer) LoadDirectory(now time.Time, s directory.Snapshot) {
	b.directory.Load(now, s)
	for service, agents := range s.Agents {
		b.holders.services[service] = true
		for _, a := range agents {
			b.holders.recorded[a] = true
		}
	}
	b.holders.expire()
}

// recordHolder records an announced agent in the directory. One that is not listed and whose target has not announced itself
// has taken no flows.
func (b *Balancer) recordHolder(now time.Time, a *agent, n *dsrpb.Announcement) {
	h := &b.holders
	first := a.lastSeen.IsZero() || !h.services[a.service]
	before := h.recorded[a.addr]
	a.empty = saysEmpty(n)
	switch {
	case a.empty:
		b.directory.RecordEnded(now, a.addr)
		delete(h.recorded, a.addr)
	case n.State == dsrpb.State_STATE_LEAVING:
		b.directory.RecordLeaving(now, a.service, a.addr, a.silenceTimeout())
		h.recorded[a.addr] = true
	case before || n.State == dsrpb.State_STATE_READY:
		b.directory.Record(now, a.service, a.addr)
		h.recorded[a.addr] = true
	}
	if first || before != h.recorded[a.addr] || a.answersQueries != n.AnswersQueries {
		h.expire()
	}
	h.services[a.service] = true
	a.answersQueries = n.AnswersQueries
}

// saysEmpty reports whether an agent says that its target holds no flows: its process has ended, or it takes no new flows
// and the agent knows all and there are none.
func saysEmpty(n *dsrpb.Announcement) bool {
	return n.TargetEnded || n.AnswersQueries && n.State == dsrpb.State_STATE_LEAVING && n.Flows == 0 && n.RunningMs == 0
}

// holdersOf returns the agents that may hold flows to an address as far as its routes are known: those of the services to
// which it leads, or led for flows that may be open. Agents that have left the directory stay listed until the next sweep.
func (b *Balancer) holdersOf(now time.Time, destination netip.AddrPort) *holderView {
	v := b.holders.views[destination]
	if v != nil && now.Sub(v.at) < sweepInterval {
		return v
	}
	v = b.viewOf(now, b.holdingServices(destination))
	b.holders.views[destination] = v
	return v
}

// holdingServices returns the services whose targets may hold flows to an address as far as its routes are known. Of one
// without a route any may.
func (b *Balancer) holdingServices(destination netip.AddrPort) map[string]bool {
	route := b.routes.Route(destination)
	if route == nil {
		return b.holders.services
	}
	services := servicesOf(route)
	for _, service := range b.directory.FormerServices(destination) {
		services[service] = true
	}
	return services
}

// viewOf derives the agents that may hold flows of services.
func (b *Balancer) viewOf(now time.Time, services map[string]bool) *holderView {
	v := &holderView{at: now, current: true}
	listed := make(map[netip.AddrPort]bool)
	for service := range services {
		for _, addr := range b.directory.Holders(service) {
			if !listed[addr] {
				v.agents, listed[addr] = append(v.agents, addr), true
			}
		}
	}
	for _, a := range b.order {
		if !b.holders.recorded[a.addr] && !a.empty && services[a.service] && a.isAlive(now) {
			v.unlisted = append(v.unlisted, a.addr)
		}
	}
	for _, addr := range v.agents {
		if a := b.agents[addr]; a != nil {
			v.current = v.current && a.answersQueries
		}
	}
	v.joinTime = max(SettleTime, time.Duration(len(v.agents))*joinTimePerAgent)
	return v
}

// servicesOf returns the services to which a route leads.
func servicesOf(route *configuration.Route) map[string]bool {
	services := make(map[string]bool, len(route.Shares))
	for _, share := range route.Shares {
		services[share.Service] = true
	}
	return services
}

// recordRoutes records the routes of a new configuration in the directory: open flows stay at services to which their
// address no longer leads.
func (b *Balancer) recordRoutes(now time.Time, next *routing.Table) {
	var routes []directory.Route
	for _, route := range next.Routes() {
		for _, share := range route.Shares {
			routes = append(routes, directory.Route{Address: route.Destination, Service: share.Service})
		}
	}
	b.directory.SetRoutes(now, next.Version(), routes)
	b.holders.expire()
}

// incarnationOf returns the incarnation of an agent; false when it has not announced itself.
func (b *Balancer) incarnationOf(addr netip.AddrPort) (uint64, bool) {
	a := b.agents[addr]
	if a == nil {
		return 0, false
	}
	return a.incarnation, true
}
