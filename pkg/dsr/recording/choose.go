package recording

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// GroupSize is the number of balancers for each one that writes. A larger group makes fewer objects, and more traffic at the
// one that writes.
const GroupSize = 32

// Candidate is a living balancer.
type Candidate struct {
	Address netip.AddrPort
	// Capacity is larger for a balancer on a larger VM.
	Capacity uint32
}

// Writer returns the balancer that writes the records of self. Living are all living balancers, self included. Balancers
// that know the same ones choose the same writers; one that leaves moves the records of its own group only.
func Writer(self netip.AddrPort, living []Candidate) netip.AddrPort {
	writers := writersOf(living)
	if len(writers) == 0 || slices.ContainsFunc(writers, func(c Candidate) bool { return c.Address == self }) {
		return self
	}
	weight := func(c Candidate) uint64 { return flow.Mix(flow.Mix(flow.AddrBits(self)) ^ flow.AddrBits(c.Address)) }
	return slices.MaxFunc(writers, func(x, y Candidate) int { return cmp.Compare(weight(x), weight(y)) }).Address
}

// writersOf returns one balancer for each GroupSize: those with the highest capacity, and of equals any, the same
// everywhere.
func writersOf(living []Candidate) []Candidate {
	sorted := slices.Clone(living)
	slices.SortFunc(sorted, func(x, y Candidate) int {
		return cmp.Or(
			cmp.Compare(y.Capacity, x.Capacity),
			cmp.Compare(flow.AddrHash(x.Address), flow.AddrHash(y.Address)),
			x.Address.Compare(y.Address),
		)
	})
	return sorted[:(len(sorted)+GroupSize-1)/GroupSize]
}
