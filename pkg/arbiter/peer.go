package arbiter

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// peerID identifies one incarnation of another agent within one arbiter.
type peerID uint16

const (
	// maxPeers bounds the incarnations of other agents over the lifetime of one arbiter.
	maxPeers = 1<<16 - 1
	// maxUnlisted bounds the peers that are known from messages but named by no view.
	maxUnlisted = 1024
	// suspectAfter is the time without an answer to an offer after which an agent is offered flows only as a last resort.
	suspectAfter = 300 * time.Millisecond
	// silentAfter is the time without any message after which an unanswered offer is made to another agent. It is
	// longer than several load reports take.
	silentAfter = 1500 * time.Millisecond
	// refusedFor is the time for which an agent whose host refused a datagram is considered dead, unless it is seen
	// again. It is longer than the views take to drop it.
	refusedFor = 5 * time.Second
	// revivedFor is the time for which an agent that left the views counts as alive after it claimed a flow.
	revivedFor = 10 * time.Second
	// goneAskPeriod is the time for which an agent that left the views is still asked for its flows: views may drop an
	// agent that is alive.
	goneAskPeriod = 30 * time.Second
)

// peer is one incarnation of another agent.
type peer struct {
	id          peerID
	addr        netip.AddrPort
	incarnation uint64
	// load is the number of open flows that the agent last reported.
	load atomic.Uint32
	// waiting is the number of offers without an answer.
	waiting atomic.Int32
	// since is when waiting rose from 0, or the agent was last seen after that.
	since atomic.Uint32
	// lastSeen is when the last message from the agent was received.
	lastSeen atomic.Uint32
	// refusedAt is when the agent's host last refused a datagram because no process had the port open; 0 when it did
	// not, or the agent was seen since.
	refusedAt atomic.Uint32
	// gone is set when a view drops the agent or shows a newer incarnation.
	gone atomic.Bool
	// goneAt is when gone was set, and revivedAt when the agent last claimed a flow after that; 0 when it did not.
	goneAt, revivedAt atomic.Uint32
	// listed is set once a view has named the agent.
	listed atomic.Bool
}

// recordMessage records a message from the agent and its load.
func (p *peer) recordMessage(now stamp, load uint32) {
	p.load.Store(load)
	p.since.Store(uint32(now))
	p.lastSeen.Store(uint32(now))
	if p.refusedAt.Load() != 0 {
		p.refusedAt.Store(0)
	}
}

// recordLoadReport records a periodic load report; offers that are unanswered for suspectAfter are considered lost or
// about to be answered.
func (p *peer) recordLoadReport(now stamp, load uint32) {
	if stamp(p.since.Load()).since(now) > suspectAfter {
		p.waiting.Store(0)
	}
	p.recordMessage(now, load)
}

// offered records an offer to the agent.
func (p *peer) offered(now stamp) {
	if p.waiting.Add(1) == 1 {
		p.since.Store(uint32(now))
	}
}

// answered records the answer to an offer.
func (p *peer) answered() {
	if p.waiting.Add(-1) < 0 {
		p.waiting.Store(0)
	}
}

// markGone records that the present view does not name the agent.
func (p *peer) markGone(now stamp) {
	if !p.gone.Load() {
		p.goneAt.Store(uint32(now))
		p.revivedAt.Store(0)
		p.gone.Store(true)
	}
}

// recordClaim records that the agent claimed a flow and so is alive, whatever the views say.
func (p *peer) recordClaim(now stamp) {
	if p.gone.Load() {
		p.revivedAt.Store(uint32(now))
	}
}

// recentlyRefused reports whether the agent's host refused a datagram within refusedFor.
func (p *peer) recentlyRefused(now stamp) bool {
	at := p.refusedAt.Load()
	return at != 0 && stamp(at).since(now) < refusedFor
}

// hasLeft reports whether the agent left the views and did not claim a flow within revivedFor, or its host refuses
// datagrams.
func (p *peer) hasLeft(now stamp) bool {
	if !p.gone.Load() {
		return false
	}
	at := p.revivedAt.Load()
	return at == 0 || stamp(at).since(now) >= revivedFor || p.recentlyRefused(now)
}

// recentlyGone reports whether the agent left the views within goneAskPeriod and may be alive.
func (p *peer) recentlyGone(now stamp) bool {
	return p.gone.Load() && stamp(p.goneAt.Load()).since(now) < goneAskPeriod && !p.recentlyRefused(now)
}

// isDead reports whether the agent left the views, or its host recently refused a datagram.
func (p *peer) isDead(now stamp) bool { return p.gone.Load() || p.recentlyRefused(now) }

// isSuspect reports whether the agent is dead or has not answered an offer for suspectAfter.
func (p *peer) isSuspect(now stamp) bool {
	if p.isDead(now) {
		return true
	}
	return p.waiting.Load() > 0 && stamp(p.since.Load()).since(now) > suspectAfter
}

// isSilent reports whether the agent is suspect and has sent nothing at all for silentAfter, so that it is likely dead.
func (p *peer) isSilent(now stamp) bool {
	return p.isSuspect(now) && stamp(p.lastSeen.Load()).since(now) > silentAfter
}

// estimate returns the last reported load plus the unanswered offers.
func (p *peer) estimate() uint32 {
	return p.load.Load() + uint32(max(p.waiting.Load(), 0))
}

type peerKey struct {
	addr        netip.AddrPort
	incarnation uint64
}

// peers is an index of the peers by address and incarnation, and by number.
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

// sender returns the peer that sent a message; incarnation 0 means the newest one. It returns nil when an unknown peer
// would exceed maxUnlisted or maxPeers.
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
