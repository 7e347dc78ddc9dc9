package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
)

const (
	// loadLife is how long the load of a peer is believed.
	loadLife = 250 * time.Millisecond
	// sampleSize is the number of peers that are compared for one decision, whatever the size of the service.
	sampleSize = 8
)

// peerLoad is what a peer last told, and the work that this agent sent it since.
type peerLoad struct {
	load limit.Load
	sent int
	at   time.Time
}

// free returns the number of slots that seem free; 0 when there is none or something waits.
func (p peerLoad) free() int {
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
	// hope is until when some peer may still seem free; without it nobody needs to look.
	hope time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{loads: make(map[string]peerLoad)}
}

// learn takes a load that a peer told.
func (p *peerLoads) learn(now time.Time, agent string, l limit.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := peerLoad{load: l, at: now}
	p.loads[agent] = known
	if known.free() > 0 {
		p.hope = now.Add(loadLife)
	}
}

// hopeful reports whether some peer may have a free slot.
func (p *peerLoads) hopeful(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.After(p.hope)
}

// unusable notes that a peer can't be reached.
func (p *peerLoads) unusable(now time.Time, agent string) { p.learn(now, agent, limit.Load{}) }

// sending counts work that is sent to a peer, until it tells its load again.
func (p *peerLoads) sending(agent string, n int) {
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
	return l, ok && now.Sub(l.at) <= loadLife
}

// keep forgets the peers that are no longer in the service.
func (p *peerLoads) keep(peers []Peer) {
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

// sample returns up to sampleSize peers, chosen at random.
func sample(peers []Peer) []Peer {
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
