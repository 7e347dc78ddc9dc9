package arbiter

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// maxPast is the number of earlier tables that are kept while views may differ.
const maxPast = 8

// past is an earlier table and the time until which it was in force.
type past struct {
	table *placement.Table
	until time.Time
}

// members is an immutable snapshot of the service as the arbiter uses it.
type members struct {
	service *view.Service
	table   *placement.Table
	// next is the table that is in force once the joining targets are active.
	next *placement.Table
	// past are earlier tables, the newest first.
	past []past
	// changed is when the members of the rows last changed.
	changed time.Time
	// self is the index of the agent's own target, or -1.
	self int
	// left is true when the view does not name the agent and the last one that did had it draining.
	left     bool
	peers    []*peer
	byAddr   map[netip.AddrPort]int
	arbiters []int
	groups   []group
}

// newMembers returns the snapshot that follows old.
func (a *Arbiter) newMembers(now time.Time, s *view.Service, old *members) *members {
	m := &members{service: s, self: -1, byAddr: make(map[netip.AddrPort]int, len(s.Targets)), changed: now}
	m.peers = make([]*peer, len(s.Targets))
	for i, t := range s.Targets {
		m.byAddr[t.Agent] = i
		if t.Agent == a.cfg.Self {
			m.self = i
			continue
		}
		m.peers[i] = a.peers.listed(t.Agent, t.Incarnation)
	}
	m.left = m.self < 0 && old != nil && (old.left || old.drains())
	m.groups = newGroups(s)
	m.adoptTables(now, old, a.cfg.Window)
	if m.self >= 0 {
		m.arbiters = m.table.ArbitersFor(m.self)
	}
	return m
}

// drains reports whether the view lists the agent as draining.
func (m *members) drains() bool {
	return m.self >= 0 && m.service.Targets[m.self].State == view.StateDraining
}

// adoptTables builds the tables, or reuses those of old when no row can differ.
func (m *members) adoptTables(now time.Time, old *members, window time.Duration) {
	if old != nil && sameRows(old.service, m.service) {
		m.table, m.next = old.table, old.next
		m.past, m.changed = old.past, old.changed
		return
	}
	m.table = placement.NewTable(m.service)
	m.next = m.table
	if hasJoining(m.service) {
		m.next = placement.NewJoinedTable(m.service)
	}
	if old == nil {
		return
	}
	m.past = append(m.past, past{old.table, now})
	for _, p := range old.past {
		if len(m.past) < maxPast && now.Sub(p.until) < window {
			m.past = append(m.past, p)
		}
	}
}

// peerAt returns the peer of an agent of the view, or nil.
func (m *members) peerAt(addr netip.AddrPort) *peer {
	if i, ok := m.byAddr[addr]; ok {
		return m.peers[i]
	}
	return nil
}

// isSettled reports whether the rows have been the same for the window.
func (m *members) isSettled(now time.Time, window time.Duration) bool {
	return now.Sub(m.changed) >= window
}

// sameRows reports whether both snapshots rank the same agents in the same way and have the same ones joining.
func sameRows(a, b *view.Service) bool {
	if len(a.Targets) != len(b.Targets) {
		return false
	}
	for i := range a.Targets {
		x, y := &a.Targets[i], &b.Targets[i]
		if x.ID != y.ID || x.Agent != y.Agent || x.Incarnation != y.Incarnation {
			return false
		}
		if x.Connections != y.Connections || x.Slots != y.Slots {
			return false
		}
		if (x.State == view.StateJoining) != (y.State == view.StateJoining) {
			return false
		}
	}
	return true
}

func hasJoining(s *view.Service) bool {
	for _, t := range s.Targets {
		if t.State == view.StateJoining {
			return true
		}
	}
	return false
}
