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

// maxMovedMessages is the highest number of KIND_MOVED messages that SetService or one Tick returns.
const maxMovedMessages = 16

// repeatsPerWindow is the highest number of repeated notifications within one window; each scans all own flows.
const repeatsPerWindow = 10

// SetService adopts a snapshot of the agent's service and returns the first notifications of moved flows to their new
// first agents; Tick returns the rest. A nil snapshot is ignored: the last one stays in force.
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
	a.markGonePeers(a.stamp(now), m)
	if old == nil || old.table != m.table || old.next != m.next {
		a.movedQueue = append(a.movedQueue, a.movedFlows(old, m)...)
		a.scheduleRepeat(now.Add(a.cfg.Window / 5))
		a.scheduleRepeat(now.Add(a.cfg.Window / 2))
		a.scheduleRepeat(now.Add(a.cfg.Window + time.Second))
	}
	return a.takeMoved()
}

// markGonePeers marks the agents that the new snapshot no longer names as gone.
func (a *Arbiter) markGonePeers(at stamp, m *members) {
	for i, p := range m.peers {
		if p == nil || i == m.self {
			continue
		}
		p.gone.Store(false)
	}
	for _, p := range *a.peers.list.Load() {
		if p.listed.Load() && m.peerAt(p.addr) != p && !p.isNewerThanView(m) {
			p.markGone(at)
		}
	}
}

// recentlyGone lists the agents that left the views recently and may be alive.
func (a *Arbiter) recentlyGone(at stamp) []*peer {
	var recentlyGone []*peer
	for _, p := range *a.peers.list.Load() {
		if p.recentlyGone(at) {
			recentlyGone = append(recentlyGone, p)
		}
	}
	return recentlyGone
}

// isNewerThanView reports whether p is a later incarnation of an agent than the view names.
func (p *peer) isNewerThanView(m *members) bool {
	q := m.peerAt(p.addr)
	return q != nil && p.incarnation > q.incarnation
}

// destination is an agent to notify of flows, with the owner and state of the flows.
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

// movedFlows returns the notifications of flows whose first agent changes from old to m.
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

// movedMessages returns the notifications in an order that depends only on the flows, so that a run can be replayed.
func (a *Arbiter) movedMessages(moved map[destination][]uint64) []Message {
	var out []Message
	for _, d := range slices.SortedFunc(maps.Keys(moved), destination.compare) {
		flows := moved[d]
		slices.Sort(flows)
		out = append(out, batches(a.movedMessage(d), flows)...)
	}
	return out
}

// collectMoved adds a flow for each agent that becomes its first one, now or once the joining targets are active.
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
	// A joining agent is notified again once it is active: flows were placed since it joined.
	if old == nil || firstPeer(old, old.table, flow) != now {
		add(now)
	}
	next := firstPeer(m, m.next, flow)
	if next != now && (old == nil || firstPeer(old, old.next, flow) != next) {
		add(next)
	}
}

// scheduleRepeat schedules a repeated notification at t or a little later. Those already scheduled stay: a series of
// view changes must not delay them until the flows are too old for them. a.mu is held.
func (a *Arbiter) scheduleRepeat(t time.Time) {
	grain := a.cfg.Window / repeatsPerWindow
	t = t.Add(grain - 1).Truncate(grain)
	i, planned := slices.BinarySearchFunc(a.repeat, t, time.Time.Compare)
	if !planned {
		a.repeat = slices.Insert(a.repeat, i, t)
	}
}

// repeatMoved queues the notifications of moved flows again: datagrams may be lost, and earlier first agents place
// flows until every process has the new view. a.mu is held.
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
		if first != nil && (young || m.movedRecently(flow)) {
			add(first)
		}
		if next != nil && next != first {
			add(next)
		}
	})
	a.movedQueue = append(a.movedQueue, a.movedMessages(moved)...)
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

// movedRecently reports whether an earlier table has another first agent for the flow.
func (m *members) movedRecently(flow uint64) bool {
	for _, p := range m.past {
		if m.table.MovedFrom(p.table, flow) {
			return true
		}
	}
	return false
}

// firstPeer returns the first agent of the flow, or nil when it is this agent or there is none.
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

// takeMoved returns the next queued notifications; a.mu is held.
func (a *Arbiter) takeMoved() []Message {
	n := min(len(a.movedQueue), maxMovedMessages)
	out := a.movedQueue[:n:n]
	a.movedQueue = a.movedQueue[n:]
	if len(a.movedQueue) == 0 {
		a.movedQueue = nil
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
