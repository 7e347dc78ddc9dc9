package membership

import "time"

// Limits of peerReach.
const (
	// peerResultLifetime is how long a result counts.
	peerResultLifetime = 3 * time.Second
	// minUnreachablePeers is the number of peers whose failure shows that the observer is cut off.
	minUnreachablePeers = 2
)

type peerResult struct {
	ok bool
	at time.Time
}

// peerReachability remembers whether peers could be reached of late.
type peerReachability struct {
	results map[string]peerResult
}

func newPeerReachability() *peerReachability {
	return &peerReachability{results: make(map[string]peerResult)}
}

func (r *peerReachability) record(id string, ok bool, now time.Time) {
	r.results[id] = peerResult{ok: ok, at: now}
}

// noneReachable reports whether several peers were tried and noneReachable was reached.
func (r *peerReachability) noneReachable(now time.Time) bool {
	failed := 0
	for id, result := range r.results {
		if now.Sub(result.at) > peerResultLifetime {
			delete(r.results, id)
			continue
		}
		if result.ok {
			return false
		}
		failed++
	}
	return failed >= minUnreachablePeers
}
