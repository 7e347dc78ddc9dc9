package arbiter

import (
	"github.com/auburnwood/auburnwood/pkg/view"
)

// group is a version of the targets with its total weight for new flows.
type group struct {
	version string
	weight  uint64
}

// newGroups returns the versions among which new flows are divided by weight, or nil when any version may take a flow.
func newGroups(s *view.Service) []group {
	if len(s.Spec.Shares) == 0 && s.Spec.Rollout == nil {
		return nil
	}
	var groups []group
	for _, t := range s.Targets {
		if t.State == view.StateActive && t.Weight > 0 {
			groups = addWeight(groups, t.Version, uint64(t.Weight))
		}
	}
	return groups
}

func addWeight(groups []group, version string, weight uint64) []group {
	for i := range groups {
		if groups[i].version == version {
			groups[i].weight += weight
			return groups
		}
	}
	return append(groups, group{version, weight})
}

// versionFor returns the version that the flow's hash selects; false when any version may take the flow.
func (m *members) versionFor(flow uint64) (string, bool) {
	var sum uint64
	for _, g := range m.groups {
		sum += g.weight
	}
	if len(m.groups) < 2 || sum == 0 {
		return "", false
	}
	// The product's high half is uniform whatever low bits of the hash chose the row.
	spread := (flow * 0x9e3779b97f4a7c15) >> 32
	at := spread * sum >> 32
	for _, g := range m.groups {
		if at < g.weight {
			return g.version, true
		}
		at -= g.weight
	}
	return "", false
}
