package arbiter

import (
	"math"
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// maxRow is the number of row positions that are considered for a new flow.
	maxRow = 8
	// maxTries is the number of offers that may be declined for load; the next one is final.
	maxTries = 2
	// maxOutsideRow is the number of agents outside the row that are tried when the row has no room.
	maxOutsideRow = 8
	// keepMargin is the fraction by which the first agent's load may exceed the mean of the row before a service that
	// prefers flows offers the flow to another agent.
	keepMargin = 0.02
	// keepMarginFullLoad is the mean load from which keepMargin applies in full; below it, the margin falls with the
	// mean, since each flow is a larger fraction of it.
	keepMarginFullLoad = 200
	// boundSlack is the fraction added to the bound of an offer; it avoids declines over a difference of one or two
	// flows.
	boundSlack = 0.01
	// minRamp is the lowest fraction of its weight that a target has during its slow start.
	minRamp = 0.02
)

// Values of Bound in KIND_DECLINED: why the offer was declined.
const (
	declinedDraining uint32 = 0
	declinedLoaded   uint32 = 1
	// declinedUnknown answers an arbiter that asked about a flow, not an offer.
	declinedUnknown uint32 = 2
	declinedFull    uint32 = math.MaxUint32
	// declinedLimit is the highest bound of an offer.
	declinedLimit = math.MaxUint32 - 1
)

// candidate is an agent that may accept a new flow.
type candidate struct {
	position int
	// peer is nil for this agent itself.
	peer      *peer
	load      uint32
	weight    float64
	isSuspect bool
	version   string
}

// score returns the load per weight that the candidate would have with one more flow.
func (c *candidate) score() float64 { return float64(c.load+1) / c.weight }

// candidates are the agents of a row that may accept a new flow.
type candidates struct {
	list [maxRow]candidate
	n    int
	// full and draining count the agents left out for these reasons.
	full, draining int
}

// candidates lists the agents of the row that may accept the flow.
func (a *Arbiter) candidates(now time.Time, m *members, in *Input, p pending) candidates {
	var cs candidates
	for i := range min(wire.RowLen(in.Row), maxRow) {
		addr, _ := wire.RowAddr(in.Row, i)
		index, ok := m.byAddr[addr]
		if !ok {
			continue
		}
		if p.excluded&(1<<i) != 0 {
			continue
		}
		a.addCandidate(now, m, index, i, &cs)
	}
	cs.keepReachable()
	if version, ok := m.versionFor(in.Flow); ok {
		cs.keepVersion(version)
	}
	return cs
}

// addCandidate adds target index of the view to the candidates if it may accept a flow.
func (a *Arbiter) addCandidate(now time.Time, m *members, index, position int, cs *candidates) {
	t := &m.service.Targets[index]
	self := index == m.self
	switch {
	case t.State == view.StateDraining, self && a.draining(m):
		cs.draining++
	case self && a.full(m):
		cs.full++
	case t.State == view.StateJoining && !self:
	default:
		c := a.candidate(now, m, index)
		c.position = position
		if c.weight > 0 {
			cs.list[cs.n] = c
			cs.n++
		}
	}
}

// keep removes the candidates for which ok is false, unless none would be left.
func (cs *candidates) keep(ok func(c *candidate) bool) {
	n := 0
	for i := range cs.n {
		if ok(&cs.list[i]) {
			cs.list[n], cs.list[i] = cs.list[i], cs.list[n]
			n++
		}
	}
	if n > 0 {
		cs.n = n
	}
}

func (cs *candidates) keepReachable() {
	cs.keep(func(c *candidate) bool { return !c.isSuspect })
}

func (cs *candidates) keepVersion(version string) {
	cs.keep(func(c *candidate) bool { return c.version == version })
}

// leastLoaded returns the candidate with the lowest score and the lowest score of the others, which is infinite when
// there is no other.
func (cs *candidates) leastLoaded() (*candidate, float64) {
	best := &cs.list[0]
	second := math.Inf(1)
	for i := 1; i < cs.n; i++ {
		c := &cs.list[i]
		if c.score() < best.score() {
			second = best.score()
			best = c
			continue
		}
		second = min(second, c.score())
	}
	return best, second
}

// self returns this agent's own candidate, or nil.
func (cs *candidates) self() *candidate {
	for i := range cs.n {
		if cs.list[i].peer == nil {
			return &cs.list[i]
		}
	}
	return nil
}

// mean returns the total load of the candidates per total weight.
func (cs *candidates) mean() float64 {
	var load, weight float64
	for i := range cs.n {
		load += float64(cs.list[i].load)
		weight += cs.list[i].weight
	}
	return load / weight
}

// pick chooses one of the candidates, of which there must be at least one. The second result is the highest load at
// which the chosen agent should accept the flow; it is 0 when this agent keeps the flow by preference.
func (cs *candidates) pick(prefer resource.Preference) (*candidate, uint32) {
	self := cs.self()
	if prefer == resource.PreferFlows && self != nil {
		mean := cs.mean() * self.weight
		if float64(self.load) <= mean*(1+keepMargin*min(mean/keepMarginFullLoad, 1)) {
			return self, 0
		}
	}
	best, second := cs.leastLoaded()
	return best, bound(best, second)
}

// bound returns the load at which the score of best reaches second, the score of the second best, plus boundSlack; it
// is at least the estimated load of best.
func bound(best *candidate, second float64) uint32 {
	limit := second*best.weight*(1+boundSlack) - 1
	if limit >= declinedLimit {
		return declinedLimit
	}
	return max(best.load, uint32(max(limit, 0)))
}

// candidate returns target index of the view as a candidate; its weight is 0 when it has no peer.
func (a *Arbiter) candidate(now time.Time, m *members, index int) candidate {
	t := &m.service.Targets[index]
	c := candidate{peer: m.peers[index], version: t.Version, weight: weight(now, m, t)}
	if index == m.self {
		c.load = uint32(a.load.Load())
		return c
	}
	if c.peer == nil {
		c.weight = 0
		return c
	}
	c.load = c.peer.estimate()
	c.isSuspect = c.peer.isSuspect(a.stamp(now))
	return c
}

// weight returns the target's weight, reduced during its slow start.
func weight(now time.Time, m *members, t *view.Target) float64 {
	w := float64(t.Weight)
	rise := time.Duration(m.service.Spec.SlowStart)
	if rise <= 0 || t.ActiveSince.IsZero() {
		return w
	}
	part := float64(now.Sub(t.ActiveSince)) / float64(rise)
	return w * min(max(part, minRamp), 1)
}
