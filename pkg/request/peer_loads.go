package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
)

const (
	// loadMaxAge is how long the load of a peer is believed.
	loadMaxAge = 250 * time.Millisecond
	// sampleSize is the number of peers that are compared for one decision, whatever the size of the service.
	sampleSize = 8
)

// peerLoad is what a peer last told, and the work that this agent sent it since.
type peerLoad struct {
	load limit.Load
	sent int
	at   time.Time
}

// freeSlots returns the number of slots that seem freeSlots; 0 when there is none or something waits.
func (p peerLoad) freeSlots() int {
	if p.load.Waiting > 0 {
		return 0
	}
	return max(p.load.Limit-p.load.Busy-p.sent, 0)
}

// ratio is the busy part of the slots.
func (p peerLoad) ratio() float64 {
	if p.load.Limit == 0 {
		return float64(1 << 20)
	}
	return float64(p.load.Busy+p.load.Waiting+p.sent) / float64(p.load.Limit)
}

// peerLoads keeps the latest load of each peer.
type peerLoads struct {
	mu    sync.Mutex
	loads map[string]peerLoad
	// maybeFreeUntil is until when some peer may still seem free; without it nobody needs to look.
	maybeFreeUntil time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{loads: make(map[string]peerLoad)}
}

// update takes a load that a peer told.
func (p *peerLoads) update(now time.Time, agent string, l limit.Load) {
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

// markUnreachable notes that a peer can't be reached.
func (p *peerLoads) markUnreachable(now time.Time, agent string) { p.update(now, agent, limit.Load{}) }

// addSent counts work that is sent to a peer, until it tells its load again.
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

// fresh returns the load of a peer when it is young enough.
func (p *peerLoads) fresh(now time.Time, agent string) (peerLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[agent]
	return l, ok && now.Sub(l.at) <= loadMaxAge
}

// prune forgets the peers that are no longer in the service.
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
