package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// suspectTime is how long an agent whose host refused a datagram gets no packets. It is longer than the first wait of a
// caller's TCP, so that a repeated opening packet does not meet the dead agent again.
const suspectTime = 2 * time.Second

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

// skip returns a row without its leading marked agents, so that the next agent of the row stands in for a dead first one
// before the views say so. The last agent is kept in any case.
func (s *suspects) skip(row []byte, now time.Time) []byte {
	if now.UnixNano() >= s.latest.Load() {
		return row
	}
	for wire.RowLen(row) > 1 && s.has(agentKey(row[:wire.AddrSize]), now) {
		row = row[wire.AddrSize:]
	}
	return row
}
