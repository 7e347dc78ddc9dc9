package agent

import (
	"sync"
	"sync/atomic"
	"time"
)

const registryShards = 64

// registry holds the flows that this agent owns and those that ended recently, by flow hash.
type registry struct {
	shards [registryShards]registryShard
	count  atomic.Int64
}

type registryShard struct {
	mu    sync.Mutex
	flows map[uint64]*openFlow
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].flows = make(map[uint64]*openFlow)
	}
	return r
}

func (r *registry) shard(hash uint64) *registryShard { return &r.shards[hash%registryShards] }

func (r *registry) get(hash uint64) *openFlow {
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows[hash]
}

// put adds a newly placed flow. It replaces an earlier flow with the same hash, which ends on its own.
func (r *registry) put(f *openFlow) {
	s := r.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[f.hash] = f
	r.count.Add(1)
}

func (r *registry) ended() { r.count.Add(-1) }

// open returns the number of flows that have not ended.
func (r *registry) open() int { return int(r.count.Load()) }

func (r *registry) each(visit func(*openFlow)) {
	for _, f := range r.snapshot() {
		visit(f)
	}
}

func (r *registry) snapshot() []*openFlow {
	var all []*openFlow
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, f := range s.flows {
			all = append(all, f)
		}
		s.mu.Unlock()
	}
	return all
}

func (r *registry) abortAll() { r.each((*openFlow).abort) }

// reap returns the placed flows without a connection after openingTimeout, and the served flows that this agent doesn't
// own, each of the latter once. It removes flows that ended more than endedRetention ago.
func (r *registry) reap(now time.Time, owns func(uint64) bool) (late, lost []*openFlow) {
	for _, f := range r.snapshot() {
		state, endedAt := f.status()
		switch {
		case state == flowPlaced && now.Sub(f.placed) > openingTimeout:
			late = append(late, f)
		case state == flowServed && !owns(f.hash) && f.silence():
			lost = append(lost, f)
		case state == flowEnded && now.Sub(endedAt) > endedRetention:
			r.remove(f)
		}
	}
	return late, lost
}

func (r *registry) remove(f *openFlow) {
	s := r.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[f.hash] == f {
		delete(s.flows, f.hash)
	}
}
