package membership

import "time"

// Limits of peerReach.
const (
	// reachWindow is how long a result counts.
	reachWindow = 3 * time.Second
	// minUnreached is the number of peers whose failure shows that the observer is cut off.
	minUnreached = 2
)

type reachResult struct {
	ok bool
	at time.Time
}

// peerReach remembers whether peers could be reached of late.
type peerReach struct {
	results map[string]reachResult
}

func newPeerReach() *peerReach {
	return &peerReach{results: make(map[string]reachResult)}
}

func (r *peerReach) add(id string, ok bool, now time.Time) {
	r.results[id] = reachResult{ok: ok, at: now}
}

// none reports whether several peers were tried and none was reached.
func (r *peerReach) none(now time.Time) bool {
	failed := 0
	for id, result := range r.results {
		if now.Sub(result.at) > reachWindow {
			delete(r.results, id)
			continue
		}
		if result.ok {
			return false
		}
		failed++
	}
	return failed >= minUnreached
}
