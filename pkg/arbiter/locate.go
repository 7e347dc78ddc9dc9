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
	// maxLocates bounds the flows that are being located at once.
	maxLocates = 1 << 16
	// locateRetryInterval is the time after which agents that did not answer are asked again.
	locateRetryInterval = 300 * time.Millisecond
	// goneAnswerTimeout is the time within which an agent that recently left the views must answer.
	goneAnswerTimeout = time.Second
	// locateTimeout is the time after which a query is removed, answered or not.
	locateTimeout = 10 * time.Second
	// maxLocateMessages bounds the KIND_LOCATE messages of one Tick.
	maxLocateMessages = 512
	// maxBatch is the highest number of flows in one message.
	maxBatch = 1000
)

// ownerQuery is a query for the owner of one flow.
type ownerQuery struct {
	since  time.Time
	asked  time.Time
	denied []peerID
	// ownerGone is true when the last known owner is gone; then denials by the live agents are enough, even during the
	// window.
	ownerGone bool
	done      bool
}

// locator holds the queries for owners.
type locator struct {
	mu    sync.Mutex
	flows map[uint64]*ownerQuery
	// count is the number of flows; it is read without the lock.
	count atomic.Int64
}

// add starts a query unless one is open; it returns false when there are too many.
func (l *locator) add(flow uint64, now time.Time, ownerGone bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.flows[flow]; q != nil && !q.done {
		q.ownerGone = q.ownerGone || ownerGone
		return true
	}
	if len(l.flows) >= maxLocates {
		return false
	}
	l.flows[flow] = &ownerQuery{since: now, ownerGone: ownerGone}
	l.count.Store(int64(len(l.flows)))
	return true
}

// resolve removes the query for a flow.
func (l *locator) resolve(flow uint64) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.flows, flow)
	l.count.Store(int64(len(l.flows)))
}

// deny records that an agent does not own the flow.
func (l *locator) deny(flow uint64, p peerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.flows[flow]; q != nil && !slices.Contains(q.denied, p) {
		q.denied = append(q.denied, p)
	}
}

// due lists the flows to ask about by agent, and those that every live agent denied. Agents that left the views are
// asked only for goneAnswerTimeout, since a dead one never answers.
func (l *locator) due(now time.Time, live, gone []*peer, settled bool) (map[netip.AddrPort][]uint64, []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := make(map[netip.AddrPort][]uint64)
	var lost []uint64
	messages := 0
	for _, flow := range l.leastRecentlyAsked() {
		q := l.flows[flow]
		if now.Sub(q.since) > locateTimeout {
			delete(l.flows, flow)
			continue
		}
		if q.done {
			continue
		}
		unanswered := q.unanswered(live)
		if now.Sub(q.since) < goneAnswerTimeout {
			unanswered = append(unanswered, q.unanswered(gone)...)
		}
		if len(unanswered) == 0 {
			if settled || q.ownerGone {
				q.done = true
				lost = append(lost, flow)
			}
			continue
		}
		if now.Sub(q.asked) < locateRetryInterval || messages >= maxLocateMessages {
			continue
		}
		q.asked = now
		for _, p := range unanswered {
			if len(ask[p.addr])%maxBatch == 0 {
				messages++
			}
			ask[p.addr] = append(ask[p.addr], flow)
		}
	}
	l.count.Store(int64(len(l.flows)))
	return ask, lost
}

// leastRecentlyAsked lists the flows by the time of their last question, oldest first, so that a bounded number of
// messages reaches all of them in turn; l.mu is held.
func (l *locator) leastRecentlyAsked() []uint64 {
	return slices.SortedFunc(maps.Keys(l.flows), func(a, b uint64) int {
		return cmp.Or(l.flows[a].asked.Compare(l.flows[b].asked), cmp.Compare(a, b))
	})
}

// unanswered lists the live agents that have not denied the flow.
func (q *ownerQuery) unanswered(live []*peer) []*peer {
	var unanswered []*peer
	for _, p := range live {
		if !slices.Contains(q.denied, p.id) {
			unanswered = append(unanswered, p)
		}
	}
	return unanswered
}

// tickLocate sends the queries that are due and marks the flows that nobody owns as lost.
func (a *Arbiter) tickLocate(now time.Time, m *members) []Message {
	if a.locator.count.Load() == 0 {
		return nil
	}
	ask, lost := a.locator.due(now, m.live(), a.recentlyGone(a.stamp(now)), m.isSettled(now, a.cfg.Window))
	for _, flow := range lost {
		a.markLost(a.stamp(now), flow)
	}
	return a.locateMessages(ask)
}

// markLost records that no agent owns the flow.
func (a *Arbiter) markLost(at stamp, flow uint64) {
	s := a.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.flows[flow]; e.state == stateLocating {
		s.set(flow, entry{at: at, state: stateLost, flags: e.flags & flagOwnerGone})
	}
}

// handleLocate answers a query for owners.
func (a *Arbiter) handleLocate(from netip.AddrPort, m Message) []Message {
	var open, half, no []uint64
	a.eachFlow(m, func(s *shard, flow uint64) []Message {
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

// batches divides the flows over copies of m, at most maxBatch in each.
func batches(m Message, flows []uint64) []Message {
	var out []Message
	for part := range slices.Chunk(flows, maxBatch) {
		m.Flows = part
		out = append(out, m)
	}
	return out
}
