package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of neighbours by distance. A balancer exchanges records with a fixed set of neighbours, which bounds the
// number of open connections; the random graph formed by these sets has a small diameter.
const (
	localNeighbours  = 6
	regionNeighbours = 4
	remoteNeighbours = 2
)

// Neighbours returns the live balancers with which self exchanges records: some of its data centre, some of other data
// centres of its region and a few of other regions. Within the region, each group fills up for the other if that is
// too small.
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

// rankedPeers returns the live balancers other than self in a pseudo-random order that depends on self's ID.
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
