package arbiter

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Arbiter decides on the packets that one agent receives. Its methods are safe for concurrent use.
type Arbiter struct {
	cfg     Config
	encoded []byte
	members atomic.Pointer[members]
	peers   *peers
	shards  [shardCount]shard
	load    atomic.Int64
	drains  atomic.Bool
	locator locator
	ended   endedFlows
	outbox  outbox

	// mu guards the fields down to loadSent. SetService, Tick and Snapshot lock it.
	mu         sync.Mutex
	movedQueue []Message
	// repeat holds the times, in order, at which the first agents of moved flows are notified again.
	repeat     []time.Time
	sweepAt    int
	nextReport int
	loadSent   time.Time

	epochOnce sync.Once
	epoch     time.Time
}

// New returns an arbiter without a service; it refuses every packet until SetService.
func New(cfg Config) *Arbiter {
	a := &Arbiter{cfg: cfg.withDefaults(), peers: newPeers()}
	a.encoded = wire.AppendAddr(nil, a.cfg.Self)
	for i := range a.shards {
		a.shards[i].flows = make(map[uint64]entry)
		a.shards[i].pending = make(map[uint64]pending)
	}
	a.locator.flows = make(map[uint64]*ownerQuery)
	return a
}

// stamp converts now; the first call sets the epoch.
func (a *Arbiter) stamp(now time.Time) stamp {
	// The epoch is one day back so that a small backward step of the clock does not wrap the stamp.
	a.epochOnce.Do(func() { a.epoch = now.Add(-24 * time.Hour) })
	return stamp(now.Sub(a.epoch) / stampUnit)
}

// isFirst reports whether this agent is the first of an encoded row.
func (a *Arbiter) isFirst(row []byte) bool {
	return len(row) >= wire.AddrSize && bytes.Equal(row[:wire.AddrSize], a.encoded)
}

// Drain makes the agent accept no new flow from now on; it continues to arbitrate.
func (a *Arbiter) Drain(time.Time) { a.drains.Store(true) }

// draining reports whether this agent accepts no new flow because it drains or has left after draining.
func (a *Arbiter) draining(m *members) bool {
	if a.drains.Load() {
		return true
	}
	return m != nil && (m.left || m.drains())
}

// limit returns the highest number of open flows; 0 means no limit.
func (a *Arbiter) limit(m *members) int64 {
	limit := int64(a.cfg.Connections)
	if m == nil {
		return limit
	}
	set := int64(m.service.Spec.Limits.Connections)
	if set > 0 && (limit == 0 || set < limit) {
		return set
	}
	return limit
}

// full reports whether this agent has no room for another flow.
func (a *Arbiter) full(m *members) bool {
	limit := a.limit(m)
	return limit > 0 && a.load.Load() >= limit
}

// Owns reports whether this agent owns the flow.
func (a *Arbiter) Owns(flow uint64) bool {
	s := a.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows[flow].state == stateOwn
}
