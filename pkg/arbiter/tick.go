package arbiter

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// loadEvery is the time between two load reports.
	loadEvery = 500 * time.Millisecond
	// loadPeers is the number of agents that get one report.
	loadPeers = 8
	// sweepShards is the number of shards that one Tick looks through for expired entries.
	sweepShards = 8
	// pendingFor is the time after which an opening without an answer is no longer pursued.
	pendingFor = 10 * time.Second
)

// Tick does what is due at now; the agent calls it every 100 ms or so.
func (a *Arbiter) Tick(now time.Time) []Message {
	m := a.members.Load()
	if m == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.repeatMoved(now, m)
	out := append(a.takeAnnouncements(), a.tells.take()...)
	out = append(out, a.tickLoad(now, m)...)
	out = append(out, a.tickLocate(now, m)...)
	out = append(out, a.tickEnded(m)...)
	return append(out, a.sweep(a.stamp(now))...)
}

// tickLoad reports the load to the next of the agents that may offer flows to this one.
func (a *Arbiter) tickLoad(now time.Time, m *members) []Message {
	if now.Sub(a.loadSent) < loadEvery || len(m.mates) == 0 {
		return nil
	}
	a.loadSent = now
	var out []Message
	for range min(loadPeers, len(m.mates)) {
		a.mateAt = (a.mateAt + 1) % len(m.mates)
		p := m.peers[m.mates[a.mateAt]]
		if p == nil {
			continue
		}
		out = append(out, Message{To: p.addr, Kind: wire.Kind_KIND_LOAD, Load: uint32(a.load.Load()), Incarnation: a.cfg.Incarnation})
	}
	return out
}

// sweep forgets what has expired in the next shards, and asks the owners of redirects whether they still are; a.mu is held.
func (a *Arbiter) sweep(at stamp) []Message {
	doubtful := make(map[netip.AddrPort][]uint64)
	for range sweepShards {
		a.sweepAt = (a.sweepAt + 1) % shardCount
		s := &a.shards[a.sweepAt]
		s.mu.Lock()
		for flow, e := range s.flows {
			if limit := a.keep(e); limit > 0 && e.at.since(at) > limit {
				a.expire(at, s, flow, e, doubtful)
			}
		}
		s.mu.Unlock()
	}
	return a.questions(doubtful)
}

// questions asks each agent for its flows.
func (a *Arbiter) questions(ask map[netip.AddrPort][]uint64) []Message {
	var out []Message
	for _, to := range slices.SortedFunc(maps.Keys(ask), netip.AddrPort.Compare) {
		slices.Sort(ask[to])
		out = append(out, batches(Message{To: to, Kind: wire.Kind_KIND_LOCATE, Incarnation: a.cfg.Incarnation}, ask[to])...)
	}
	return out
}

// expire forgets an entry. An opening without an answer is kept as a redirect to the agent that was asked last: it may have taken the flow and its answer been lost, and it says so if it has not. A redirect to an agent that lives is kept until that agent denies the flow, which may be idle for longer than any time chosen here: without the redirect the flow's next UDP packet would start a second life elsewhere.
func (a *Arbiter) expire(at stamp, s *shard, flow uint64, e entry, doubtful map[netip.AddrPort][]uint64) {
	switch {
	case e.state == stateOffered, e.state == stateBeyond, e.state == stateAsked:
		s.set(flow, entry{at: at, peer: e.peer, state: stateRedirect})
	case e.state == stateRedirect && a.mayOwn(e):
		p := a.peers.get(e.peer)
		doubtful[p.addr] = append(doubtful[p.addr], flow)
		e.at = at
		s.flows[flow] = e
	default:
		s.drop(flow)
	}
}

// mayOwn reports whether the peer of a redirect may still own the flow.
func (a *Arbiter) mayOwn(e entry) bool {
	p := a.peers.get(e.peer)
	return !e.has(flagEnded) && p.listed.Load() && !p.gone.Load()
}

// keep returns the time for which an entry is kept since its stamp; 0 means for ever.
func (a *Arbiter) keep(e entry) time.Duration {
	switch e.state {
	case stateOwn:
		return 0
	case stateRedirect:
		if e.has(flagEnded | flagYielded) {
			return a.cfg.Linger
		}
		return a.cfg.Idle
	case stateAsked, stateOffered, stateBeyond, stateLocating:
		return pendingFor
	}
	return a.cfg.Linger
}
