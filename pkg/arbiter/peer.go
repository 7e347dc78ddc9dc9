package arbiter

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// peerID names one incarnation of another agent within one arbiter.
type peerID uint16

const (
	// maxPeers bounds the incarnations that one arbiter can tell apart in its life.
	maxPeers = 1<<16 - 1
	// maxUnlisted bounds the peers that are known by message only and not by a view.
	maxUnlisted = 1024
	// suspectAfter is the time without an answer to an offer after which an agent is offered flows only as a last resort.
	suspectAfter = 300 * time.Millisecond
	// silentAfter is the time without any message after which an offer that was not answered is made to another agent. It is longer than several load reports take.
	silentAfter = 1500 * time.Millisecond
	// refusedFor is the time for which an agent whose host refused a datagram is taken for dead, unless it is heard. It is longer than the views take to drop it.
	refusedFor = 5 * time.Second
	// revivedFor is the time for which an agent that left the views counts as living after it claimed a flow.
	revivedFor = 10 * time.Second
	// lateFor is the time after its leave for which an agent is still asked for its flows: views may drop an agent that lives.
	lateFor = 30 * time.Second
)

// peer is one incarnation of another agent.
type peer struct {
	id          peerID
	addr        netip.AddrPort
	incarnation uint64
	// load is the last number of open flows that the agent itself reported.
	load atomic.Uint32
	// waiting is the number of offers without an answer.
	waiting atomic.Int32
	// since is when waiting rose from 0, or the last sign of life after that.
	since atomic.Uint32
	// last is when the agent was last heard.
	last atomic.Uint32
	// refused is when the agent's host last refused a datagram, as there was no socket; 0 when it did not, or the agent was heard since.
	refused atomic.Uint32
	// gone is set when a view drops the agent or shows a newer incarnation.
	gone atomic.Bool
	// goneAt is when gone was set, and revived when the agent last claimed a flow after that; 0 when it did not.
	goneAt, revived atomic.Uint32
	// listed is set once a view has named the agent.
	listed atomic.Bool
}

// heard notes a message of the agent with its load.
func (p *peer) heard(now stamp, load uint32) {
	p.load.Store(load)
	p.since.Store(uint32(now))
	p.last.Store(uint32(now))
	if p.refused.Load() != 0 {
		p.refused.Store(0)
	}
}

// reported notes a periodic load report; offers that were not answered by then are lost or about to be answered.
func (p *peer) reported(now stamp, load uint32) {
	if stamp(p.since.Load()).since(now) > suspectAfter {
		p.waiting.Store(0)
	}
	p.heard(now, load)
}

// offered notes an offer to the agent.
func (p *peer) offered(now stamp) {
	if p.waiting.Add(1) == 1 {
		p.since.Store(uint32(now))
	}
}

// answered notes the answer to an offer.
func (p *peer) answered() {
	if p.waiting.Add(-1) < 0 {
		p.waiting.Store(0)
	}
}

// leave notes that the present view does not name the agent.
func (p *peer) leave(now stamp) {
	if !p.gone.Load() {
		p.goneAt.Store(uint32(now))
		p.revived.Store(0)
		p.gone.Store(true)
	}
}

// claims notes that the agent claimed a flow, so that it lives whatever the views say.
func (p *peer) claims(now stamp) {
	if p.gone.Load() {
		p.revived.Store(uint32(now))
	}
}

// refuses reports whether the agent's host refused a datagram of late.
func (p *peer) refuses(now stamp) bool {
	at := p.refused.Load()
	return at != 0 && stamp(at).since(now) < refusedFor
}

// left reports whether the agent left the views and did not show since that it lives.
func (p *peer) left(now stamp) bool {
	if !p.gone.Load() {
		return false
	}
	at := p.revived.Load()
	return at == 0 || stamp(at).since(now) >= revivedFor || p.refuses(now)
}

// late reports whether the agent left the views a short time ago and may live.
func (p *peer) late(now stamp) bool {
	return p.gone.Load() && stamp(p.goneAt.Load()).since(now) < lateFor && !p.refuses(now)
}

// dead reports whether the agent left the views, or its host refused a datagram of late.
func (p *peer) dead(now stamp) bool { return p.gone.Load() || p.refuses(now) }

// suspect reports whether the agent is dead or owes an answer for too long.
func (p *peer) suspect(now stamp) bool {
	if p.dead(now) {
		return true
	}
	return p.waiting.Load() > 0 && stamp(p.since.Load()).since(now) > suspectAfter
}

// silent reports whether the agent is suspect and sent nothing at all for so long that it is likely dead.
func (p *peer) silent(now stamp) bool {
	return p.suspect(now) && stamp(p.last.Load()).since(now) > silentAfter
}

// estimate is the agent's number of open flows as far as it is known here.
func (p *peer) estimate() uint32 {
	return p.load.Load() + uint32(max(p.waiting.Load(), 0))
}

type peerKey struct {
	addr        netip.AddrPort
	incarnation uint64
}

// peers finds peers by address and incarnation, and by number.
type peers struct {
	mu       sync.RWMutex
	byKey    map[peerKey]*peer
	newest   map[netip.AddrPort]*peer
	unlisted int
	list     atomic.Pointer[[]*peer]
}

func newPeers() *peers {
	p := &peers{byKey: make(map[peerKey]*peer), newest: make(map[netip.AddrPort]*peer)}
	p.list.Store(&[]*peer{})
	return p
}

// get returns the peer with the number.
func (p *peers) get(id peerID) *peer { return (*p.list.Load())[id] }

// at returns the newest known incarnation of the agent at an address, or nil.
func (p *peers) at(addr netip.AddrPort) *peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.newest[addr]
}

// listed adds an incarnation that a view names.
func (p *peers) listed(addr netip.AddrPort, incarnation uint64) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.add(addr, incarnation)
	if q != nil && !q.listed.Swap(true) && p.unlisted > 0 {
		p.unlisted--
	}
	return q
}

// sender returns the peer that sent a message; incarnation 0 means the newest one. It returns nil when there is no room for an unknown one.
func (p *peers) sender(addr netip.AddrPort, incarnation uint64) *peer {
	p.mu.RLock()
	q := p.newest[addr]
	if incarnation != 0 && (q == nil || q.incarnation != incarnation) {
		q = p.byKey[peerKey{addr, incarnation}]
	}
	room := p.unlisted < maxUnlisted
	p.mu.RUnlock()
	if q != nil || incarnation == 0 || !room {
		return q
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unlisted++
	return p.add(addr, incarnation)
}

func (p *peers) add(addr netip.AddrPort, incarnation uint64) *peer {
	key := peerKey{addr, incarnation}
	if q := p.byKey[key]; q != nil {
		return q
	}
	old := *p.list.Load()
	if len(old) >= maxPeers {
		return nil
	}
	q := &peer{id: peerID(len(old)), addr: addr, incarnation: incarnation}
	list := append(old[:len(old):len(old)], q)
	p.list.Store(&list)
	p.byKey[key] = q
	if n := p.newest[addr]; n == nil || n.incarnation < incarnation {
		p.newest[addr] = q
	}
	return q
}
