package arbiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// paceMessages is the number of announcements that SetService or one Tick returns.
const paceMessages = 16

// repeatGrains is the highest number of repeated announcements within one window; each looks through all own flows.
const repeatGrains = 10

// SetService adopts a snapshot of the agent's service and returns the first announcements to new first agents; Tick returns the rest. A nil snapshot is ignored: the last one stays in force.
func (a *Arbiter) SetService(now time.Time, s *view.Service) []Message {
	if s == nil {
		return nil
	}
	a.stamp(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.members.Load()
	if old != nil && old.service == s {
		return nil
	}
	m := a.newMembers(now, s, old)
	a.members.Store(m)
	a.dropGone(a.stamp(now), m)
	if old == nil || old.table != m.table || old.next != m.next {
		a.announce = append(a.announce, a.movedFlows(old, m)...)
		a.repeatAt(now.Add(a.cfg.Window / 5))
		a.repeatAt(now.Add(a.cfg.Window / 2))
		a.repeatAt(now.Add(a.cfg.Window + time.Second))
	}
	return a.takeAnnouncements()
}

// dropGone marks the agents that the new snapshot no longer names.
func (a *Arbiter) dropGone(at stamp, m *members) {
	for i, p := range m.peers {
		if p == nil || i == m.self {
			continue
		}
		p.gone.Store(false)
	}
	for _, p := range *a.peers.list.Load() {
		if p.listed.Load() && m.peerAt(p.addr) != p && !p.newer(m) {
			p.leave(at)
		}
	}
}

// late lists the agents that left the views a short time ago and may live.
func (a *Arbiter) late(at stamp) []*peer {
	var late []*peer
	for _, p := range *a.peers.list.Load() {
		if p.late(at) {
			late = append(late, p)
		}
	}
	return late
}

// newer reports whether p is a later incarnation of an agent than the view names.
func (p *peer) newer(m *members) bool {
	q := m.peerAt(p.addr)
	return q != nil && p.incarnation > q.incarnation
}

// destination is the agent that has to know of a flow, and what it has to know.
type destination struct {
	to    peerID
	owner peerID
	open  bool
	own   bool
}

func (d destination) compare(e destination) int {
	return cmp.Or(cmp.Compare(d.to, e.to), cmp.Compare(d.owner, e.owner), compareBool(d.open, e.open), compareBool(d.own, e.own))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// movedFlows lists the announcements of flows whose first agent changes from old to m.
func (a *Arbiter) movedFlows(old, m *members) []Message {
	moved := make(map[destination][]uint64)
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for flow, e := range s.flows {
			a.collectMoved(moved, old, m, flow, e)
		}
		s.mu.Unlock()
	}
	return a.movedMessages(moved)
}

// movedMessages makes the announcements, in an order that depends on nothing but the flows, so that a run can be replayed.
func (a *Arbiter) movedMessages(moved map[destination][]uint64) []Message {
	var out []Message
	for _, d := range slices.SortedFunc(maps.Keys(moved), destination.compare) {
		flows := moved[d]
		slices.Sort(flows)
		out = append(out, batches(a.movedMessage(d), flows)...)
	}
	return out
}

// collectMoved adds a flow for each agent that becomes its first one, at once or once the joining targets are active.
func (a *Arbiter) collectMoved(moved map[destination][]uint64, old, m *members, flow uint64, e entry) {
	own := e.state == stateOwn
	if !own && (e.state != stateRedirect || e.has(flagEnded|flagYielded)) {
		return
	}
	if !own && (old == nil || old.table.FirstAgent(flow) != a.cfg.Self) {
		return
	}
	now := firstPeer(m, m.table, flow)
	add := func(p *peer) {
		if p != nil && (own || p.id != e.peer) {
			d := destination{to: p.id, owner: e.peer, open: e.has(flagOpen), own: own}
			moved[d] = append(moved[d], flow)
		}
	}
	// A joining agent is told again once it is active: flows were placed since it joined.
	if old == nil || firstPeer(old, old.table, flow) != now {
		add(now)
	}
	next := firstPeer(m, m.next, flow)
	if next != now && (old == nil || firstPeer(old, old.next, flow) != next) {
		add(next)
	}
}

// repeatAt plans a repeated announcement at t or a little later. Those planned before stay: a row of view changes must not put them off until the flows are too old for them. a.mu is held.
func (a *Arbiter) repeatAt(t time.Time) {
	grain := a.cfg.Window / repeatGrains
	t = t.Add(grain - 1).Truncate(grain)
	i, planned := slices.BinarySearchFunc(a.repeat, t, time.Time.Compare)
	if !planned {
		a.repeat = slices.Insert(a.repeat, i, t)
	}
}

// repeatMoved announces moved flows again: datagrams may be lost, and earlier first agents place flows until every process has the new view. a.mu is held.
func (a *Arbiter) repeatMoved(now time.Time, m *members) {
	if len(a.repeat) == 0 || now.Before(a.repeat[0]) {
		return
	}
	a.repeat = a.repeat[1:]
	at := a.stamp(now)
	moved := make(map[destination][]uint64)
	a.eachOwn(func(flow uint64, e entry) {
		young := e.at.since(at) < 2*a.cfg.Window
		first, next := firstPeer(m, m.table, flow), firstPeer(m, m.next, flow)
		add := func(p *peer) {
			d := destination{to: p.id, open: e.has(flagOpen), own: true}
			moved[d] = append(moved[d], flow)
		}
		if first != nil && (young || m.movedLately(flow)) {
			add(first)
		}
		if next != nil && next != first {
			add(next)
		}
	})
	a.announce = append(a.announce, a.movedMessages(moved)...)
}

// eachOwn calls f for each own flow.
func (a *Arbiter) eachOwn(f func(flow uint64, e entry)) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for flow, e := range s.flows {
			if e.state == stateOwn {
				f(flow, e)
			}
		}
		s.mu.Unlock()
	}
}

// movedLately reports whether an earlier table has another first agent for the flow.
func (m *members) movedLately(flow uint64) bool {
	for _, p := range m.past {
		if m.table.MovedFrom(p.table, flow) {
			return true
		}
	}
	return false
}

// firstPeer returns the peer that is first for the flow, or nil when it is this agent or nobody.
func firstPeer(m *members, t *placement.Table, flow uint64) *peer {
	i := t.First(flow)
	if i < 0 {
		return nil
	}
	return m.peers[i]
}

func (a *Arbiter) movedMessage(d destination) Message {
	m := Message{
		To: a.peers.get(d.to).addr, Kind: wire.Kind_KIND_MOVED, Owner: a.cfg.Self,
		Incarnation: a.cfg.Incarnation, Load: uint32(a.load.Load()), Final: d.open,
	}
	if !d.own {
		m.Owner = a.peers.get(d.owner).addr
	}
	return m
}

// takeAnnouncements returns the next waiting announcements; a.mu is held.
func (a *Arbiter) takeAnnouncements() []Message {
	n := min(len(a.announce), paceMessages)
	out := a.announce[:n:n]
	a.announce = a.announce[n:]
	if len(a.announce) == 0 {
		a.announce = nil
	}
	return out
}

// live lists the agents of the view other than this one.
func (m *members) live() []*peer {
	var live []*peer
	for _, p := range m.peers {
		if p != nil {
			live = append(live, p)
		}
	}
	return live
}

// draining returns the number of draining targets.
func (m *members) draining() int {
	n := 0
	for _, t := range m.service.Targets {
		if t.State == view.StateDraining {
			n++
		}
	}
	return n
}
