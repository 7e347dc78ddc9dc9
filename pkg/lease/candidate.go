package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultCandidates is the number of processes that compete for one lease.
const DefaultCandidates = 5

// Candidate reports whether self is among the n processes that should compete for a lease, by a hash of the lease's and
// the members' names. It keeps the reads of the lease few in a large fleet. Processes with different views of the
// members may choose different candidates; that costs reads, and the lease still has one holder.
func Candidate(lease, self string, members []string, n int) bool {
	if n >= len(members) {
		return true
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(lease, a), rank(lease, b)), cmp.Compare(a, b))
	})
	return slices.Contains(ranked[:n], self)
}

func rank(lease, member string) uint64 {
	return xxhash.Sum64String(lease + "\x00" + member)
}
