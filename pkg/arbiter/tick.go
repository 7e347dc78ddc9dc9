package arbiter

import (
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
	a.sweep(a.stamp(now))
	return out
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

// sweep forgets what has expired in the next shards; a.mu is held.
func (a *Arbiter) sweep(at stamp) {
	for range sweepShards {
		a.sweepAt = (a.sweepAt + 1) % shardCount
		s := &a.shards[a.sweepAt]
		s.mu.Lock()
		for flow, e := range s.flows {
			if limit := a.keep(e); limit > 0 && e.at.since(at) > limit {
				a.expire(at, s, flow, e)
			}
		}
		s.mu.Unlock()
	}
}

// expire forgets an entry. An opening without an answer is kept as a redirect to the agent that was asked last: it may have taken the flow and its answer been lost, and it says so if it has not.
func (a *Arbiter) expire(at stamp, s *shard, flow uint64, e entry) {
	switch e.state {
	case stateOffered, stateBeyond, stateAsked:
		s.set(flow, entry{at: at, peer: e.peer, state: stateRedirect})
	default:
		s.drop(flow)
	}
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
