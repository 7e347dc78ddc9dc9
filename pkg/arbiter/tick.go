package arbiter

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// loadReportInterval is the time between two load reports.
	loadReportInterval = 500 * time.Millisecond
	// loadReportFanout is the number of agents to which one report is sent.
	loadReportFanout = 8
	// sweepShards is the number of shards that one Tick scans for expired entries.
	sweepShards = 8
	// pendingTimeout is the time after which an opening flow without an answer is abandoned.
	pendingTimeout = 10 * time.Second
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
	out := append(a.takeMoved(), a.outbox.take()...)
	out = append(out, a.tickLoad(now, m)...)
	out = append(out, a.tickLocate(now, m)...)
	out = append(out, a.tickEnded(m)...)
	return append(out, a.sweep(a.stamp(now))...)
}

// tickLoad reports the load to the next of the agents that may offer flows to this one.
func (a *Arbiter) tickLoad(now time.Time, m *members) []Message {
	if now.Sub(a.loadSent) < loadReportInterval || len(m.arbiters) == 0 {
		return nil
	}
	a.loadSent = now
	var out []Message
	for range min(loadReportFanout, len(m.arbiters)) {
		a.nextReport = (a.nextReport + 1) % len(m.arbiters)
		p := m.peers[m.arbiters[a.nextReport]]
		if p == nil {
			continue
		}
		out = append(out, Message{To: p.addr, Kind: wire.Kind_KIND_LOAD, Load: uint32(a.load.Load()), Incarnation: a.cfg.Incarnation})
	}
	return out
}

// sweep removes expired entries from the next shards, and asks the owners of idle redirects whether they still have the
// flows; a.mu is held.
func (a *Arbiter) sweep(at stamp) []Message {
	toVerify := make(map[netip.AddrPort][]uint64)
	for range sweepShards {
		a.sweepAt = (a.sweepAt + 1) % shardCount
		s := &a.shards[a.sweepAt]
		s.mu.Lock()
		for flow, e := range s.flows {
			if limit := a.retention(e); limit > 0 && e.at.since(at) > limit {
				a.expire(at, s, flow, e, toVerify)
			}
		}
		s.mu.Unlock()
	}
	return a.locateMessages(toVerify)
}

// locateMessages returns the messages that ask each agent whether it owns the given flows.
func (a *Arbiter) locateMessages(ask map[netip.AddrPort][]uint64) []Message {
	var out []Message
	for _, to := range slices.SortedFunc(maps.Keys(ask), netip.AddrPort.Compare) {
		slices.Sort(ask[to])
		out = append(out, batches(Message{To: to, Kind: wire.Kind_KIND_LOCATE, Incarnation: a.cfg.Incarnation}, ask[to])...)
	}
	return out
}

// expire removes an entry. An opening flow without an answer becomes a redirect to the agent that was asked last: it
// may have accepted the flow and its answer been lost; it denies the flow if it has not. A redirect to an agent that is
// alive is kept until that agent denies the flow, which may be idle for any length of time: without the redirect, the
// flow's next UDP packet would be placed as a new flow elsewhere.
func (a *Arbiter) expire(at stamp, s *shard, flow uint64, e entry, toVerify map[netip.AddrPort][]uint64) {
	switch {
	case e.state == stateOffered, e.state == stateOfferedOutside, e.state == stateAsked:
		s.set(flow, entry{at: at, peer: e.peer, state: stateRedirect})
	case e.state == stateRedirect && a.mayOwn(e):
		p := a.peers.get(e.peer)
		toVerify[p.addr] = append(toVerify[p.addr], flow)
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

// retention returns the time for which an entry is kept since its stamp; 0 means forever.
func (a *Arbiter) retention(e entry) time.Duration {
	switch e.state {
	case stateOwn:
		return 0
	case stateRedirect:
		if e.has(flagEnded | flagYielded) {
			return a.cfg.Linger
		}
		return a.cfg.Idle
	case stateAsked, stateOffered, stateOfferedOutside, stateLocating:
		return pendingTimeout
	}
	return a.cfg.Linger
}
