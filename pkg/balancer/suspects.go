package balancer

import (
	"sync"
	"sync/atomic"
	"time"
)

// suspectTime is how long an agent that refused a datagram is not used from the cache.
const suspectTime = time.Second

// suspects remembers the agents whose hosts refused a datagram of late.
type suspects struct {
	latest atomic.Int64
	mu     sync.Mutex
	until  map[agentKey]time.Time
}

// add marks an agent and reports whether it was not marked before.
func (s *suspects) add(k agentKey, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[agentKey]time.Time)
	}
	if now.Before(s.until[k]) {
		return false
	}
	s.dropOld(now)
	s.until[k] = now.Add(suspectTime)
	s.latest.Store(now.Add(suspectTime).UnixNano())
	return true
}

func (s *suspects) dropOld(now time.Time) {
	for k, t := range s.until {
		if !now.Before(t) {
			delete(s.until, k)
		}
	}
}

// has reports whether an agent is marked. It takes the lock only while any agent is.
func (s *suspects) has(k agentKey, now time.Time) bool {
	if now.UnixNano() >= s.latest.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[k])
}
