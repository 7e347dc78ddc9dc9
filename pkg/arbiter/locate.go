package arbiter

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// maxLocates bounds the flows whose owners are asked for at once.
	maxLocates = 1 << 16
	// locateEvery is the time after which agents that did not answer are asked again.
	locateEvery = 300 * time.Millisecond
	// lateAnswer is the time within which an agent that left the views a short time ago must answer.
	lateAnswer = time.Second
	// locateLife is the time after which a question is forgotten, answered or not.
	locateLife = 10 * time.Second
	// maxLocateMessages bounds the questions of one Tick.
	maxLocateMessages = 512
	// batch is the highest number of flows in one message.
	batch = 1000
)

// locate is a question for the owner of one flow.
type locate struct {
	since  time.Time
	asked  time.Time
	denied []peerID
	// died is true when the last known owner is gone; then the answers of the live agents are enough.
	died bool
	done bool
}

// locator holds the open questions for owners.
type locator struct {
	mu    sync.Mutex
	flows map[uint64]*locate
	// open is the number of flows; it is read without the lock.
	open atomic.Int64
}

// add starts a question unless there is one; it returns false when there are too many.
func (l *locator) add(flow uint64, now time.Time, died bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.flows[flow]; q != nil && !q.done {
		q.died = q.died || died
		return true
	}
	if len(l.flows) >= maxLocates {
		return false
	}
	l.flows[flow] = &locate{since: now, died: died}
	l.open.Store(int64(len(l.flows)))
	return true
}

// found ends the question for a flow.
func (l *locator) found(flow uint64) {
	if l.open.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.flows, flow)
	l.open.Store(int64(len(l.flows)))
}

// deny notes that an agent does not own the flow.
func (l *locator) deny(flow uint64, p peerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.flows[flow]; q != nil && !slices.Contains(q.denied, p) {
		q.denied = append(q.denied, p)
	}
}

// due lists the flows to ask about by agent, and those that every live agent denied. Agents that left the views are asked for a short time only, since a dead one never answers.
func (l *locator) due(now time.Time, live, late []*peer, settled bool) (map[netip.AddrPort][]uint64, []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := make(map[netip.AddrPort][]uint64)
	var lost []uint64
	messages := 0
	for _, flow := range l.oldestFirst() {
		q := l.flows[flow]
		if now.Sub(q.since) > locateLife {
			delete(l.flows, flow)
			continue
		}
		if q.done {
			continue
		}
		missing := q.missing(live)
		if now.Sub(q.since) < lateAnswer {
			missing = append(missing, q.missing(late)...)
		}
		if len(missing) == 0 {
			if settled || q.died {
				q.done = true
				lost = append(lost, flow)
			}
			continue
		}
		if now.Sub(q.asked) < locateEvery || messages >= maxLocateMessages {
			continue
		}
		q.asked = now
		for _, p := range missing {
			if len(ask[p.addr])%batch == 0 {
				messages++
			}
			ask[p.addr] = append(ask[p.addr], flow)
		}
	}
	l.open.Store(int64(len(l.flows)))
	return ask, lost
}

// oldestFirst lists the flows in the order in which they were last asked for, so that a bounded number of messages reaches all of them in turn; l.mu is held.
func (l *locator) oldestFirst() []uint64 {
	return slices.SortedFunc(maps.Keys(l.flows), func(a, b uint64) int {
		return cmp.Or(l.flows[a].asked.Compare(l.flows[b].asked), cmp.Compare(a, b))
	})
}

// missing lists the live agents that have not denied the flow.
func (q *locate) missing(live []*peer) []*peer {
	var missing []*peer
	for _, p := range live {
		if !slices.Contains(q.denied, p.id) {
			missing = append(missing, p)
		}
	}
	return missing
}

// tickLocate asks for owners and settles the flows that nobody owns.
func (a *Arbiter) tickLocate(now time.Time, m *members) []Message {
	if a.locator.open.Load() == 0 {
		return nil
	}
	ask, lost := a.locator.due(now, m.live(), a.late(a.stamp(now)), m.settled(now, a.cfg.Window))
	for _, flow := range lost {
		a.lose(a.stamp(now), flow)
	}
	return a.questions(ask)
}

// lose notes that no agent owns the flow.
func (a *Arbiter) lose(at stamp, flow uint64) {
	s := a.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.flows[flow]; e.state == stateLocating {
		s.set(flow, entry{at: at, state: stateLost, flags: e.flags & flagDied})
	}
}

// locateFor answers a question for owners.
func (a *Arbiter) locateFor(from netip.AddrPort, m Message) []Message {
	var open, half, no []uint64
	a.each(m, func(s *shard, flow uint64) []Message {
		e := s.flows[flow]
		switch {
		case e.state != stateOwn:
			no = append(no, flow)
		case e.has(flagOpen):
			open = append(open, flow)
		default:
			half = append(half, flow)
		}
		return nil
	})
	answer := Message{To: from, Kind: wire.Kind_KIND_LOCATED, Incarnation: a.cfg.Incarnation}
	out := batches(answer, no)
	answer.Owner = a.cfg.Self
	out = append(out, batches(answer, half)...)
	answer.Final = true
	return append(out, batches(answer, open)...)
}

// batches repeats m with at most batch of the flows each.
func batches(m Message, flows []uint64) []Message {
	var out []Message
	for part := range slices.Chunk(flows, batch) {
		m.Flows = part
		out = append(out, m)
	}
	return out
}
