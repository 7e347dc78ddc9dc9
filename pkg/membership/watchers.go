package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatcherCount is the number of balancers that watch a member.
const WatcherCount = 3

// Number of watchers in the member's own data centre, when others are at hand. Most of a balancer's watchers are
// elsewhere in the region, so that the loss of a whole data centre is noticed; its agents then get new watchers.
const (
	localWatchersOfAgent    = 2
	localWatchersOfBalancer = 1
)

// Watchers returns the IDs of the balancers that watch m, by rendezvous hashing. The watchers are in m's region, so that
// no region decides on the members of another one; only when the region has never had a balancer are they elsewhere. The
// list balancers may hold dead and left ones. The result doesn't depend on its order.
func Watchers(m *Member, balancers []Member) []string {
	candidates, known := candidatesIn(m, balancers, func(b *Member) bool { return b.Region == m.Region })
	if !known {
		candidates, _ = candidatesIn(m, balancers, func(*Member) bool { return true })
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	return pickWatchers(m, candidates)
}

type candidate struct {
	id    string
	local bool
	score uint64
}

// candidatesIn returns the live balancers that match and aren't m itself, and whether any balancer matched at all.
func candidatesIn(m *Member, balancers []Member, match func(*Member) bool) (candidates []candidate, known bool) {
	seed := xxhash.Sum64String(m.ID)
	for i := range balancers {
		b := &balancers[i]
		if b.ID == m.ID || !match(b) {
			continue
		}
		known = true
		if !b.Live() {
			continue
		}
		score := mix(seed ^ xxhash.Sum64String(b.ID))
		candidates = append(candidates, candidate{id: b.ID, local: b.DataCentre == m.DataCentre, score: score})
	}
	return candidates, known || m.Role == RoleBalancer
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func pickWatchers(m *Member, sorted []candidate) []string {
	local := localWatchersOfAgent
	if m.Role == RoleBalancer {
		local = localWatchersOfBalancer
	}
	ids := make([]string, 0, WatcherCount)
	ids = appendCandidates(ids, sorted, local, func(c candidate) bool { return c.local })
	ids = appendCandidates(ids, sorted, WatcherCount, func(c candidate) bool { return !c.local })
	return appendCandidates(ids, sorted, WatcherCount, func(c candidate) bool { return true })
}

// appendCandidates adds matching candidates until ids has limit elements.
func appendCandidates(ids []string, sorted []candidate, limit int, match func(candidate) bool) []string {
	for _, c := range sorted {
		if len(ids) >= limit {
			break
		}
		if match(c) && !slices.Contains(ids, c.id) {
			ids = append(ids, c.id)
		}
	}
	return ids
}
