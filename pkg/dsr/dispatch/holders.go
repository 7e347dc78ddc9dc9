package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
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
	// at is when the fields below were derived; zero after a change.
	at     time.Time
	agents []netip.AddrPort
	// unlisted are the living agents that are not in the directory since they are not known to have taken flows.
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
	b.holders.at = time.Time{}
}

// recordHolder records an announced agent in the directory. One that is not listed and takes no new flows can hold none
// that the list does not name elsewhere: all flows of before its start are at listed agents.
func (b *Balancer) recordHolder(now time.Time, a *agent, n *dsrpb.Announcement) {
	h := &b.holders
	first := a.lastSeen.IsZero() || !h.services[a.service]
	before := h.recorded[a.addr]
	switch {
	case saysEmpty(n):
		b.directory.Remove(a.addr)
		delete(h.recorded, a.addr)
	case before || n.State == dsrpb.State_STATE_READY:
		b.directory.Record(now, a.service, a.addr)
		h.recorded[a.addr] = true
	}
	if first || before != h.recorded[a.addr] || a.answersQueries != n.AnswersQueries {
		h.at = time.Time{}
	}
	h.services[a.service] = true
	a.answersQueries = n.AnswersQueries
}

// saysEmpty reports whether an agent says that its target takes no new flows, and that it knows all flows of its target
// and there are none.
func saysEmpty(n *dsrpb.Announcement) bool {
	return n.AnswersQueries && n.State == dsrpb.State_STATE_LEAVING && n.Flows == 0 && n.RunningMs == 0
}

// allHolders returns the agents that may hold open flows, of all services: an earlier route may have led to any. Agents
// that have left the directory stay listed until the next sweep.
func (b *Balancer) allHolders(now time.Time) *holders {
	h := &b.holders
	if !h.at.IsZero() && now.Sub(h.at) < sweepInterval {
		return h
	}
	h.at, h.agents, h.unlisted = now, nil, nil
	h.current = true
	for service := range h.services {
		h.agents = append(h.agents, b.directory.Holders(service)...)
	}
	for _, a := range b.order {
		if !h.recorded[a.addr] && a.isAlive(now) {
			h.unlisted = append(h.unlisted, a.addr)
		}
	}
	for _, addr := range h.agents {
		if a := b.agents[addr]; a != nil {
			h.current = h.current && a.answersQueries
		}
	}
	h.joinTime = max(SettleTime, time.Duration(len(h.agents))*joinTimePerAgent)
	return h
}

// incarnationOf returns the incarnation of an agent; false when it has not announced itself.
func (b *Balancer) incarnationOf(addr netip.AddrPort) (uint64, bool) {
	a := b.agents[addr]
	if a == nil {
		return 0, false
	}
	return a.incarnation, true
}
