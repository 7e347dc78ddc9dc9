package membership

import (
	"sync"
	"time"
)

// Limits of RegionReach.
const (
	// RegionTimeout is how long no balancer of a region may be reached before the region counts as unreachable.
	RegionTimeout = 5 * time.Second
	// minRegionFailures is the number of failed calls that must fall into the silence.
	minRegionFailures = 3
)

type regionState struct {
	since    time.Time
	failures int
}

// RegionReachability finds out which regions can't be reached. Members of such a region are kept as they are: nothing is
// dropped on one region's word. All methods may be called from any goroutine.
type RegionReachability struct {
	mu      sync.Mutex
	regions map[string]*regionState
}

// NewRegionReachability returns a RegionReach that knows no region.
func NewRegionReachability() *RegionReachability {
	return &RegionReachability{regions: make(map[string]*regionState)}
}

// RecordResult notes whether a call to a balancer of a region succeeded and reports whether the region is reachable.
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
