package view

import (
	"cmp"
	"math"
	"slices"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// weightScale is the sum of the weights of a service's active targets, up to rounding. It gives each of several
// thousand targets a resolution of more than 0.1%.
const weightScale = 1 << 24

// Build returns the view of a revision and the members known to a process. It depends on nothing else: equal input in
// any order gives equal views. Dead and left members are omitted; unreachable ones are kept.
func Build(rev resource.Revision, members []membership.Member) *View {
	targets := targetsByService(members)
	v := &View{Revision: rev.Number, Services: make([]*Service, 0, len(rev.Services))}
	for _, config := range rev.Services {
		v.Services = append(v.Services, buildService(rev.Number, config, targets))
	}
	slices.SortFunc(v.Services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// targetsByService groups the live agents by the service name that they announce, each group sorted by ID.
func targetsByService(members []membership.Member) map[string][]membership.Member {
	groups := make(map[string][]membership.Member)
	for _, m := range members {
		if m.Role != membership.RoleAgent || !m.Live() {
			continue
		}
		groups[m.Service] = append(groups[m.Service], m)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return groups
}

func buildService(number uint64, c resource.ServiceConfig, groups map[string][]membership.Member) *Service {
	members := evacuated(groups[cmp.Or(c.Spec.Targets, c.Name)], c.Spec.Evacuated)
	s := &Service{Name: c.Name, Revision: number, Spec: c.Spec}
	s.Targets = make([]Target, 0, len(members))
	weights := newWeights(c.Spec.Shares, members)
	for _, m := range members {
		s.Targets = append(s.Targets, newTarget(m, weights.of(m)))
	}
	return s
}

// evacuated returns the members with those of evacuated data centres draining: they keep their flows and their places
// in the rows, and accept no new flows until the data centre is restored.
func evacuated(members []membership.Member, dataCentres []string) []membership.Member {
	if len(dataCentres) == 0 {
		return members
	}
	out := slices.Clone(members)
	for i := range out {
		if slices.Contains(dataCentres, out[i].DataCentre) {
			out[i].State = membership.StateDraining
		}
	}
	return out
}

func newTarget(m membership.Member, weight uint32) Target {
	return Target{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		Agent:       m.PacketAddr,
		Control:     m.ControlAddr,
		Weight:      weight,
		State:       targetState(m.State),
		Version:     m.Version,
		DataCentre:  m.DataCentre,
		Slots:       m.Slots,
		Connections: m.Connections,
		ActiveSince: m.ActiveSince,
	}
}

func targetState(s membership.State) TargetState {
	switch s {
	case membership.StateActive:
		return StateActive
	case membership.StateDraining:
		return StateDraining
	}
	return StateJoining
}

// weights divides new flows among targets: each version gets its share, and within a version each target gets a
// fraction in proportion to its announced capacity. Without shares the version doesn't matter.
type weights struct {
	shares   map[string]float64
	capacity map[string]float64
	total    float64
}

func newWeights(shares []resource.Share, members []membership.Member) *weights {
	w := &weights{capacity: make(map[string]float64)}
	if len(shares) > 0 {
		w.shares = make(map[string]float64)
	}
	for _, s := range shares {
		w.shares[s.Version] += float64(s.Weight)
		w.total += float64(s.Weight)
	}
	w.addCapacity(members, membership.StateActive)
	w.addCapacity(members, membership.StateJoining)
	return w
}

// addCapacity sums the capacity of the members in the given state, for versions that have none yet.
func (w *weights) addCapacity(members []membership.Member, state membership.State) {
	sums := make(map[string]float64)
	for _, m := range members {
		if m.State == state {
			sums[w.version(m)] += float64(m.Capacity())
		}
	}
	for version, sum := range sums {
		if w.capacity[version] == 0 {
			w.capacity[version] = sum
		}
	}
}

// version is the key under which a member's capacity is counted.
func (w *weights) version(m membership.Member) string {
	if w.shares == nil {
		return ""
	}
	return m.Version
}

// of returns the weight of a member; 0 for a draining one.
func (w *weights) of(m membership.Member) uint32 {
	if m.State == membership.StateDraining {
		return 0
	}
	share := w.share(m)
	if share == 0 {
		return 0
	}
	part := share * float64(m.Capacity()) / w.capacity[w.version(m)]
	return uint32(max(1, math.Round(min(part, 1)*weightScale)))
}

// share returns the fraction of all new flows that the member's version takes.
func (w *weights) share(m membership.Member) float64 {
	if w.shares == nil {
		return 1
	}
	if w.total == 0 {
		return 0
	}
	return w.shares[m.Version] / w.total
}
