package arbiter

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// endedFlows are own flows whose end is not reported yet.
type endedFlows struct {
	mu    sync.Mutex
	flows []uint64
}

// Opened records that the handshake of an own flow is complete or, for UDP, that a second packet arrived. From then on
// the agent does not abandon the flow to another.
func (a *Arbiter) Opened(now time.Time, flow uint64) []Message {
	s := a.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows[flow]
	if e.state != stateOwn || e.has(flagOpen) {
		return nil
	}
	e.flags |= flagOpen
	s.flows[flow] = e
	first := a.firstElsewhere(flow)
	if !first.IsValid() {
		return nil
	}
	return []Message{a.placedMessage(first, flow, true)}
}

// firstElsewhere returns the first agent of the flow's row, or the zero value when that is this agent.
func (a *Arbiter) firstElsewhere(flow uint64) netip.AddrPort {
	m := a.members.Load()
	if m == nil {
		return netip.AddrPort{}
	}
	first := m.table.FirstAgent(flow)
	if first == a.cfg.Self {
		return netip.AddrPort{}
	}
	return first
}

// Ended records that an own flow has ended; the next Tick notifies its first agent.
func (a *Arbiter) Ended(now time.Time, flow uint64) []Message {
	s := a.shard(flow)
	s.mu.Lock()
	own := s.flows[flow].state == stateOwn
	if own {
		a.load.Add(-1)
		s.set(flow, entry{at: a.stamp(now), state: stateEnded})
	}
	s.mu.Unlock()
	if own {
		a.ended.add(flow)
	}
	return nil
}

func (f *endedFlows) add(flow uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flows = append(f.flows, flow)
}

func (f *endedFlows) take() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	flows := f.flows
	f.flows = nil
	return flows
}

// tickEnded notifies the first agents, of the present and the next table, of ended flows.
func (a *Arbiter) tickEnded(m *members) []Message {
	byFirst := make(map[netip.AddrPort][]uint64)
	for _, flow := range a.ended.take() {
		first, next := m.table.FirstAgent(flow), m.next.FirstAgent(flow)
		byFirst[first] = append(byFirst[first], flow)
		if next != first {
			byFirst[next] = append(byFirst[next], flow)
		}
	}
	delete(byFirst, a.cfg.Self)
	delete(byFirst, netip.AddrPort{})
	var out []Message
	for _, to := range slices.SortedFunc(maps.Keys(byFirst), netip.AddrPort.Compare) {
		out = append(out, batches(Message{To: to, Kind: wire.Kind_KIND_ENDED, Incarnation: a.cfg.Incarnation}, byFirst[to])...)
	}
	return out
}
