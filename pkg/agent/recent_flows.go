package agent

import (
	"sync"
	"time"
)

const (
	recentSlots = 1024
	recentTime  = time.Second
)

// recentFlows remembers flows for a short time, to record a refusal once and not for each packet of a window. Two flows
// may share a slot; then one is recorded more often.
type recentFlows struct {
	mu    sync.Mutex
	slots [recentSlots]recentFlow
}

type recentFlow struct {
	hash uint64
	at   time.Time
}

func newRecentFlows() *recentFlows { return &recentFlows{} }

// first reports whether the flow was not seen within recentTime.
func (r *recentFlows) first(hash uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.slots[hash%recentSlots]
	if s.hash == hash && now.Sub(s.at) < recentTime {
		return false
	}
	*s = recentFlow{hash: hash, at: now}
	return true
}
