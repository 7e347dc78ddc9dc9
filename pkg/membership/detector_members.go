package membership

import (
	"maps"
	"slices"
)

// balancersOf returns the balancers among members, dead and left ones included.
func balancersOf(members []Member) []Member {
	var balancers []Member
	for _, m := range members {
		if m.Role == RoleBalancer {
			balancers = append(balancers, m)
		}
	}
	return balancers
}

// sameBalancers reports whether two sorted lists give the same watchers.
func sameBalancers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool {
		return x.ID == y.ID && x.Live() == y.Live() && x.Region == y.Region && x.DataCentre == y.DataCentre
	})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
