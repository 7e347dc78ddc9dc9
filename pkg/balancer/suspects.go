package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// suspectTime is how long an agent whose host refused a datagram gets no packets. It exceeds the initial retransmission
// timeout of TCP, so that a retransmitted SYN isn't sent to the unreachable agent again.
const suspectTime = 2 * time.Second

// suspects is the set of agents whose hosts refused a datagram within suspectTime.
type suspects struct {
	latestExpiry atomic.Int64
	mu           sync.Mutex
	until        map[agentKey]time.Time
}

// add marks an agent as suspect and reports whether it was not marked already.
func (s *suspects) add(k agentKey, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[agentKey]time.Time)
	}
	if now.Before(s.until[k]) {
		return false
	}
	s.removeExpired(now)
	s.until[k] = now.Add(suspectTime)
	s.latestExpiry.Store(now.Add(suspectTime).UnixNano())
	return true
}

func (s *suspects) removeExpired(now time.Time) {
	for k, t := range s.until {
		if !now.Before(t) {
			delete(s.until, k)
		}
	}
}

// has reports whether an agent is suspect. It takes the lock only while any agent is.
func (s *suspects) has(k agentKey, now time.Time) bool {
	if now.UnixNano() >= s.latestExpiry.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[k])
}

// skip returns a row without its leading suspects, so that the next agent replaces an unreachable first one before a
// view does. The last agent of the row is always kept.
func (s *suspects) skip(row []byte, now time.Time) []byte {
	if now.UnixNano() >= s.latestExpiry.Load() {
		return row
	}
	for wire.RowLen(row) > 1 && s.has(agentKey(row[:wire.AddrSize]), now) {
		row = row[wire.AddrSize:]
	}
	return row
}
