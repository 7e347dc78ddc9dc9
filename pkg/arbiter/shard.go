package arbiter

import "sync"

// shardCount is the number of flow shards, a power of two.
const shardCount = 256

// shard holds the flows whose hash begins with the shard's number, its highest 8 bits.
type shard struct {
	mu      sync.Mutex
	flows   map[uint64]entry
	pending map[uint64]pending
	_       [40]byte // keeps two shards' locks in different cache lines
}

func (a *Arbiter) shard(flow uint64) *shard {
	// The low bits choose the row slot, so the high ones spread better within one arbiter.
	return &a.shards[flow>>56&(shardCount-1)]
}

// set stores an entry and removes the progress of an opening flow.
func (s *shard) set(flow uint64, e entry) {
	s.flows[flow] = e
	if len(s.pending) > 0 {
		delete(s.pending, flow)
	}
}

// savePending stores an entry of an opening flow with its progress.
func (s *shard) savePending(flow uint64, e entry, p pending) {
	s.flows[flow] = e
	s.pending[flow] = p
}

func (s *shard) drop(flow uint64) {
	delete(s.flows, flow)
	delete(s.pending, flow)
}
