package membership

import "time"

const (
	// peerResultLifetime is the time after which the result of a call expires.
	peerResultLifetime = 3 * time.Second
	// minUnreachablePeers is the number of unreachable peers, with no reachable one, from which the observer counts as
	// cut off.
	minUnreachablePeers = 2
)

type peerResult struct {
	ok bool
	at time.Time
}

// peerReachability holds the recent results of calls to peers.
type peerReachability struct {
	results map[string]peerResult
}

func newPeerReachability() *peerReachability {
	return &peerReachability{results: make(map[string]peerResult)}
}

func (r *peerReachability) record(id string, ok bool, now time.Time) {
	r.results[id] = peerResult{ok: ok, at: now}
}

// noneReachable reports whether at least minUnreachablePeers peers were called recently and all of them failed.
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
