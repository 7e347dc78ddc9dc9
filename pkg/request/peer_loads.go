package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
)

const (
	// loadMaxAge is how long the reported load of a peer is used.
	loadMaxAge = 250 * time.Millisecond
	// sampleSize is the number of peers compared for one decision, whatever the size of the service.
	sampleSize = 8
)

// peerLoad is the load that a peer last reported, and the work sent to it since.
type peerLoad struct {
	load limit.Load
	sent int
	at   time.Time
}

// freeSlots returns the estimated number of free slots; 0 when requests wait at the peer.
func (p peerLoad) freeSlots() int {
	if p.load.Waiting > 0 {
		return 0
	}
	return max(p.load.Limit-p.load.Busy-p.sent, 0)
}

// ratio returns the work at the peer as a fraction of its slots.
func (p peerLoad) ratio() float64 {
	if p.load.Limit == 0 {
		return float64(1 << 20)
	}
	return float64(p.load.Busy+p.load.Waiting+p.sent) / float64(p.load.Limit)
}

// peerLoads holds the last reported load of each peer.
type peerLoads struct {
	mu    sync.Mutex
	loads map[string]peerLoad
	// maybeFreeUntil is when the last report of free slots expires; after it no peer needs to be considered.
	maybeFreeUntil time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{loads: make(map[string]peerLoad)}
}

// updateLoad stores a load that a peer reported.
func (p *peerLoads) updateLoad(now time.Time, agent string, l limit.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := peerLoad{load: l, at: now}
	p.loads[agent] = known
	if known.freeSlots() > 0 {
		p.maybeFreeUntil = now.Add(loadMaxAge)
	}
}

// mayHaveFreePeer reports whether some peer may have a free slot.
func (p *peerLoads) mayHaveFreePeer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.After(p.maybeFreeUntil)
}

// markUnreachable treats a peer as having no slots until its load expires.
func (p *peerLoads) markUnreachable(now time.Time, agent string) {
	p.updateLoad(now, agent, limit.Load{})
}

// addSent counts work sent to a peer since its last reported load.
func (p *peerLoads) addSent(agent string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[agent]
	if !ok {
		return
	}
	l.sent += n
	p.loads[agent] = l
}

// fresh returns the load of a peer, and whether it is no older than loadMaxAge.
func (p *peerLoads) fresh(now time.Time, agent string) (peerLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[agent]
	return l, ok && now.Sub(l.at) <= loadMaxAge
}

// prune removes peers that have left the service, once there are many more loads than peers.
func (p *peerLoads) prune(peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.loads) <= 2*len(peers)+sampleSize {
		return
	}
	known := make(map[string]peerLoad, len(peers))
	for _, peer := range peers {
		if l, ok := p.loads[peer.Agent]; ok {
			known[peer.Agent] = l
		}
	}
	p.loads = known
}

// samplePeers returns up to sampleSize peers, chosen at random.
func samplePeers(peers []Peer) []Peer {
	if len(peers) <= sampleSize {
		return peers
	}
	picked := make([]Peer, 0, sampleSize)
	first := rand.IntN(len(peers))
	step := len(peers) / sampleSize
	for i := range sampleSize {
		picked = append(picked, peers[(first+i*step+rand.IntN(step))%len(peers)])
	}
	return picked
}
