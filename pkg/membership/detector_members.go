package membership

import (
	"maps"
	"slices"
)

// sameBalancers reports whether two lists of balancers, sorted by ID, lead to the same assignment of watchers.
func sameBalancers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool {
		return x.ID == y.ID && x.Live() == y.Live() && x.Region == y.Region && x.DataCentre == y.DataCentre
	})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
