package membership

import (
	"sync"
	"time"
)

const (
	// RegionTimeout is the time without a successful call to a balancer of a region after which the region counts as
	// unreachable.
	RegionTimeout = 5 * time.Second
	// minRegionFailures is the number of failed calls within that time that is needed as well.
	minRegionFailures = 3
)

type regionState struct {
	since    time.Time
	failures int
}

// RegionReachability determines which other regions can be reached, from the results of calls to their balancers.
// Members of an unreachable region keep their state, because one region can't decide whether those of another have
// failed. All methods are safe for concurrent use.
type RegionReachability struct {
	mu      sync.Mutex
	regions map[string]*regionState
}

func NewRegionReachability() *RegionReachability {
	return &RegionReachability{regions: make(map[string]*regionState)}
}

// RecordResult records whether a call to a balancer of a region succeeded and reports whether the region is reachable.
func (r *RegionReachability) RecordResult(region string, ok bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, found := r.regions[region]
	if !found || ok {
		s = &regionState{since: now}
		r.regions[region] = s
	}
	if !ok {
		s.failures++
	}
	return s.failures < minRegionFailures || now.Sub(s.since) < RegionTimeout
}
