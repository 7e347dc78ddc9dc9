package agent

import (
	"sync"
	"sync/atomic"
	"time"
)

const registryShards = 64

// registry holds the flows that this agent owns, by flow hash, and those that ended a short time ago.
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

// put adds a flow that was placed here. An earlier flow of the same key is forgotten; it ends by itself.
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

// reap returns the placed flows that got no connection in time, and the served flows that this agent does not own, each
// of these once. It forgets flows that ended long ago.
func (r *registry) reap(now time.Time, owns func(uint64) bool) (late, lost []*openFlow) {
	for _, f := range r.snapshot() {
		state, endedAt := f.view()
		switch {
		case state == flowPlaced && now.Sub(f.placed) > openingTime:
			late = append(late, f)
		case state == flowServed && !owns(f.hash) && f.silence():
			lost = append(lost, f)
		case state == flowEnded && now.Sub(endedAt) > endedTime:
			r.forget(f)
		}
	}
	return late, lost
}

func (r *registry) forget(f *openFlow) {
	s := r.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[f.hash] == f {
		delete(s.flows, f.hash)
	}
}
