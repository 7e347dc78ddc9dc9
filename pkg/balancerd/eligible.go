package balancerd

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// eligible reports whether a balancer is a candidate for a duty: one of the first maxCandidates matching live
// balancers, ordered by a hash of duty and name, so that duties are spread over the fleet.
func eligible(duty, self string, balancers []membership.Member, match func(membership.Member) bool) bool {
	var ranks []uint64
	for _, b := range balancers {
		if b.Live() && !b.Unreachable && match(b) {
			ranks = append(ranks, rank(duty, b.ID))
		}
	}
	slices.Sort(ranks)
	ranks = ranks[:min(len(ranks), maxCandidates)]
	return slices.Contains(ranks, rank(duty, self))
}

func rank(duty, id string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + id)
}
