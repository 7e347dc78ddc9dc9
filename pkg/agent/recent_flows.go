package agent

import (
	"sync"
	"time"
)

const (
	recentSlots  = 1024
	recentWindow = time.Second
)

// recentFlows deduplicates refusal records: a refusal is recorded once and not for each packet of a TCP window. It is a
// direct-mapped table by flow hash; flows that share a slot may be recorded more than once.
type recentFlows struct {
	mu    sync.Mutex
	slots [recentSlots]recentFlow
}

type recentFlow struct {
	hash uint64
	at   time.Time
}

func newRecentFlows() *recentFlows { return &recentFlows{} }

// isFirst reports whether the flow was not seen within recentWindow.
func (r *recentFlows) isFirst(hash uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.slots[hash%recentSlots]
	if s.hash == hash && now.Sub(s.at) < recentWindow {
		return false
	}
	*s = recentFlow{hash: hash, at: now}
	return true
}
