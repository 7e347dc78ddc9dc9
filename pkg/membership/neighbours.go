package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of neighbours by distance. Balancers exchange with a fixed set of neighbours only, so that few connections
// are kept open; the random graph that the sets form has a short diameter.
const (
	localNeighbours  = 6
	regionNeighbours = 4
	remoteNeighbours = 2
)

// Neighbours returns the live balancers that self exchanges records with: some of its data centre, some of its region
// and a few of other regions. When one group is small, the others make up for it.
func Neighbours(self *Member, balancers []Member) []Member {
	var local, region, remote []Member
	for _, b := range rankedPeers(self, balancers) {
		switch {
		case b.Region != self.Region:
			remote = append(remote, b)
		case b.DataCentre != self.DataCentre:
			region = append(region, b)
		default:
			local = append(local, b)
		}
	}
	far := firstOf(remote, remoteNeighbours)
	middle := firstOf(region, localNeighbours+regionNeighbours-min(len(local), localNeighbours))
	near := firstOf(local, localNeighbours+regionNeighbours-len(middle))
	return slices.Concat(near, middle, far)
}

func firstOf(members []Member, n int) []Member {
	return members[:min(n, len(members))]
}

// rankedPeers returns the live balancers other than self in an order of self's own.
func rankedPeers(self *Member, balancers []Member) []Member {
	seed := xxhash.Sum64String(self.ID)
	score := func(m *Member) uint64 { return mix(seed + mix(xxhash.Sum64String(m.ID))) }
	var peers []Member
	for _, b := range balancers {
		if b.ID != self.ID && b.Role == RoleBalancer && b.Live() {
			peers = append(peers, b)
		}
	}
	slices.SortFunc(peers, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(&a), score(&b)), cmp.Compare(a.ID, b.ID))
	})
	return peers
}
