package balancer

import (
	"math/bits"
	"sync"
	"time"
)

const (
	cacheShards = 256
	cacheWays   = 4
)

// entry is a cached flow. It holds no pointers, so the garbage collector doesn't scan the cache.
type entry struct {
	flow    uint64
	expires uint32
	owner   agentKey
	used    bool
	learned bool
}

type cacheShard struct {
	mu      sync.Mutex
	entries []entry
	_       [32]byte
}

// cache maps flow hashes to learned owners. It is a set-associative table of fixed size: when the set of a flow is
// full, the entry that expires first is replaced.
type cache struct {
	epoch  time.Time
	shards [cacheShards]cacheShard
	mask   uint64
}

// newCache returns a cache with at least flows entries; expiry times are stored in seconds since epoch.
func newCache(flows int, epoch time.Time) *cache {
	sets := (flows + cacheShards*cacheWays - 1) / (cacheShards * cacheWays)
	sets = 1 << bits.Len(uint(max(sets, 1)-1))
	c := &cache{epoch: epoch, mask: uint64(sets - 1)}
	for i := range c.shards {
		c.shards[i].entries = make([]entry, sets*cacheWays)
	}
	return c
}

func (c *cache) seconds(now time.Time) uint32 {
	return uint32(now.Sub(c.epoch)/time.Second) + 1
}

func (c *cache) shard(flow uint64) *cacheShard {
	return &c.shards[flow%cacheShards]
}

func (c *cache) set(s *cacheShard, flow uint64) []entry {
	at := (flow / cacheShards & c.mask) * cacheWays
	return s.entries[at : at+cacheWays]
}

// owner returns the learned owner of a flow.
func (c *cache) owner(flow uint64, now time.Time) (agentKey, bool) {
	s := c.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := find(c.set(s, flow), flow)
	if e == nil || !e.learned || e.expires <= c.seconds(now) {
		return agentKey{}, false
	}
	return e.owner, true
}

// learn stores the owner of a flow for ttl.
func (c *cache) learn(flow uint64, owner agentKey, now time.Time, ttl time.Duration) {
	s := c.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := findOrReplace(c.set(s, flow), flow)
	*e = entry{flow: flow, owner: owner, used: true, learned: true, expires: c.seconds(now.Add(ttl))}
}

// recordOpening removes the learned owner of a flow and reports whether this is the first opening packet of a new flow.
// A retransmission within repeatWindow is not the first. After an owner was learned, an opening packet starts a new
// flow with the same key, unless the flow is connectionless: all its packets look like opening packets.
func (c *cache) recordOpening(flow uint64, connectionless bool, now time.Time, repeatWindow time.Duration) bool {
	s := c.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := findOrReplace(c.set(s, flow), flow)
	repeated := e.used && e.flow == flow && e.expires > c.seconds(now) && (connectionless || !e.learned)
	*e = entry{flow: flow, used: true, expires: c.seconds(now.Add(repeatWindow))}
	return !repeated
}

// remove evicts a flow.
func (c *cache) remove(flow uint64) {
	s := c.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := find(c.set(s, flow), flow); e != nil {
		*e = entry{}
	}
}

func find(set []entry, flow uint64) *entry {
	for i := range set {
		if set[i].used && set[i].flow == flow {
			return &set[i]
		}
	}
	return nil
}

// findOrReplace returns the flow's entry, or else a free entry, or else the one that expires first.
func findOrReplace(set []entry, flow uint64) *entry {
	oldest := &set[0]
	for i := range set {
		e := &set[i]
		if e.used && e.flow == flow {
			return e
		}
		if !e.used {
			e.expires = 0
		}
		if e.expires < oldest.expires {
			oldest = e
		}
	}
	return oldest
}
