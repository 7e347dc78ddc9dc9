package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
)

// minJoinTime and joinMargin bound the time until a balancer has heard of every agent that has joined: two announcement
// intervals and a margin.
const (
	minJoinTime = SettleTime
	joinMargin  = 100 * time.Millisecond
)

// holders are the agents that may hold open flows, as derived from the directory.
type holders struct {
	// services are the names of all services with such agents.
	services map[string]bool
	// loaded are the agents of the last complete list that was loaded, at loadedAt.
	loaded   map[netip.AddrPort]bool
	loadedAt time.Time
	// at is when the fields below were derived; zero after a change.
	at     time.Time
	agents []netip.AddrPort
	// current is set when none of them is of an earlier release, listed when all of them were loaded.
	current bool
	listed  bool
	// joinTime is how long an agent that has joined may be unknown.
	joinTime time.Duration
}

// Directory returns the agents that may hold open flows, which the balancer records from their announcements.
func (b *Balancer) Directory() *directory.Directory { return b.directory }

// LoadDirectory adds the agents that were known before the balancer's start.
func (b *Balancer) LoadDirectory(now time.Time, s directory.Snapshot) {
	b.directory.Load(now, s)
	loaded := make(map[netip.AddrPort]bool)
	for service, agents := range s.Agents {
		b.holders.services[service] = true
		for _, a := range agents {
			loaded[a] = true
		}
	}
	if s.Complete {
		b.holders.loaded, b.holders.loadedAt = loaded, now
	}
	b.holders.at = time.Time{}
}

// recordHolder records an announced agent in the directory.
func (b *Balancer) recordHolder(now time.Time, a *agent, answersQueries bool) {
	b.directory.Record(now, a.service, a.addr)
	if !b.holders.services[a.service] || a.answersQueries != answersQueries || a.lastSeen.IsZero() {
		b.holders.at = time.Time{}
	}
	b.holders.services[a.service] = true
	a.answersQueries = answersQueries
}

// allHolders returns the agents that may hold open flows, of all services: an earlier route may have led to any. Agents
// that have left the directory stay listed until the next sweep.
func (b *Balancer) allHolders(now time.Time) *holders {
	h := &b.holders
	if !h.at.IsZero() && now.Sub(h.at) < sweepInterval {
		return h
	}
	h.at, h.agents = now, nil
	h.current, h.joinTime = true, minJoinTime
	h.listed = h.loaded != nil && now.Sub(h.loadedAt) <= directory.MaxFlowAge
	for service := range h.services {
		h.agents = append(h.agents, b.directory.Holders(service)...)
	}
	for _, addr := range h.agents {
		h.listed = h.listed && h.loaded[addr]
		if a := b.agents[addr]; a != nil {
			h.current = h.current && a.answersQueries
			h.joinTime = max(h.joinTime, 2*a.interval+joinMargin)
		}
	}
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
