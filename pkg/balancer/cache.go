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

// entry is one flow of the cache. It holds no pointer, so that the garbage collector skips the cache.
type entry struct {
	flow    uint64
	expires uint32
	owner   agentKey
	used    bool
	learned bool
}

// cacheShard is a part of the cache with its own lock.
type cacheShard struct {
	mu      sync.Mutex
	entries []entry
	_       [32]byte
}

// cache maps flow hashes to learned owners. It is a set-associative table of fixed size: when the set of a flow is full,
// the entry that expires first makes room.
type cache struct {
	epoch  time.Time
	shards [cacheShards]cacheShard
	mask   uint64
}

// newCache returns a cache for about flows entries; expiry is counted in seconds from epoch.
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

// learn stores the owner of a flow for the time ttl.
func (c *cache) learn(flow uint64, owner agentKey, now time.Time, ttl time.Duration) {
	s := c.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := findOrReplace(c.set(s, flow), flow)
	*e = entry{flow: flow, owner: owner, used: true, learned: true, expires: c.seconds(now.Add(ttl))}
}

// open forgets the owner of a flow that starts anew and reports whether this is its first opening packet. A repeated
// opening packet within the time again is not the first. After an owner was learned, an opening packet starts a new life
// of the flow, but for a connectionless one, whose packets all look like opening packets.
func (c *cache) open(flow uint64, connectionless bool, now time.Time, again time.Duration) bool {
	s := c.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := findOrReplace(c.set(s, flow), flow)
	repeated := e.used && e.flow == flow && e.expires > c.seconds(now) && (connectionless || !e.learned)
	*e = entry{flow: flow, used: true, expires: c.seconds(now.Add(again))}
	return !repeated
}

// forget drops a flow.
func (c *cache) forget(flow uint64) {
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

// findOrReplace returns the flow's entry, or else a free one, or else the one that expires first.
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
