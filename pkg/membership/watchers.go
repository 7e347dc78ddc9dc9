package membership

import "github.com/cespare/xxhash/v2"

// WatcherCount is the number of balancers that watch a member.
const WatcherCount = 3

// Numbers of watchers in the member's own data centre when the region has enough others. Most of a balancer's watchers
// are in other data centres, so that the loss of a whole data centre is detected; its agents then get new watchers.
const (
	localWatchersOfAgent    = 2
	localWatchersOfBalancer = 1
)

// Watchers returns the IDs of the balancers that watch m; see WatcherSet.
func Watchers(m *Member, balancers []Member) []string {
	return NewWatcherSet(balancers).Of(m)
}

// WatcherSet assigns watchers to members by rendezvous hashing. The watchers are in the member's region, so that no
// region decides about members of another one. Only the agents of a region without any known balancer, dead or alive,
// are watched from other regions.
type WatcherSet struct {
	// regions holds the live balancers by region. It has a key for each region with a known balancer, dead or alive.
	regions map[string][]watcher
	all     []watcher
}

type watcher struct {
	id, dataCentre string
	hash           uint64
}

// NewWatcherSet returns the set for a list of balancers, which may include dead and left ones. Their order doesn't
// matter.
func NewWatcherSet(balancers []Member) *WatcherSet {
	s := &WatcherSet{regions: make(map[string][]watcher)}
	for i := range balancers {
		b := &balancers[i]
		inRegion := s.regions[b.Region]
		if b.Live() {
			w := watcher{id: b.ID, dataCentre: b.DataCentre, hash: xxhash.Sum64String(b.ID)}
			inRegion = append(inRegion, w)
			s.all = append(s.all, w)
		}
		s.regions[b.Region] = inRegion
	}
	return s
}

// Of returns the IDs of the balancers that watch m.
func (s *WatcherSet) Of(m *Member) []string {
	candidates, known := s.regions[m.Region]
	if !known && m.Role != RoleBalancer {
		candidates = s.all
	}
	var local, other best
	seed := xxhash.Sum64String(m.ID)
	for i := range candidates {
		c := &candidates[i]
		if c.id == m.ID {
			continue
		}
		if c.dataCentre == m.DataCentre {
			local.add(c, mix(seed^c.hash))
		} else {
			other.add(c, mix(seed^c.hash))
		}
	}
	return pickWatchers(m, &local, &other)
}

// pickWatchers picks the configured number of local watchers and fills up with others, or with more local ones when
// there are too few others.
func pickWatchers(m *Member, local, other *best) []string {
	wanted := localWatchersOfAgent
	if m.Role == RoleBalancer {
		wanted = localWatchersOfBalancer
	}
	near := min(local.count, max(wanted, WatcherCount-other.count))
	ids := make([]string, 0, WatcherCount)
	ids = local.appendIDs(ids, near)
	return other.appendIDs(ids, WatcherCount-near)
}

// best holds the WatcherCount candidates with the highest scores, in descending order.
type best struct {
	watchers [WatcherCount]*watcher
	scores   [WatcherCount]uint64
	count    int
}

func (b *best) add(w *watcher, score uint64) {
	if b.count == WatcherCount && score <= b.scores[WatcherCount-1] {
		return
	}
	b.count = min(b.count+1, WatcherCount)
	i := b.count - 1
	for i > 0 && score > b.scores[i-1] {
		b.watchers[i], b.scores[i] = b.watchers[i-1], b.scores[i-1]
		i--
	}
	b.watchers[i], b.scores[i] = w, score
}

// appendIDs appends the IDs of the first n candidates.
func (b *best) appendIDs(ids []string, n int) []string {
	for _, w := range b.watchers[:min(n, b.count)] {
		ids = append(ids, w.id)
	}
	return ids
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
