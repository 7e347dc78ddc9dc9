package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// minFlowWeight and maxFlowWeight bound how far the flows that a target gets are corrected towards the mean. A
	// target without flows would otherwise get all new ones, which send most of their requests at first.
	minFlowWeight = 0.5
	maxFlowWeight = 1.25
	// utilizationMemory is the time constant of the mean utilization: two announcement intervals of most deployments,
	// and short against changes of demand.
	utilizationMemory = 2 * time.Second
)

// pool holds the agents of a service in one or several data centres, from which targets are drawn for a flow with a
// probability that follows their pace, slots and open flows. Draws differ from flow to flow, so that balancers with old
// reports do not all choose the same target.
type pool struct {
	agents []*agent
	// bits are the address bits of the agents, as tieBreak uses them.
	bits []uint64
	// level is the mean number of open flows per slot, by pace. fastest is the least pace of a usable target, slots the
	// most slots.
	level   float64
	fastest float64
	slots   int
	// utilization is the mean share of the slots that is busy, averaged over utilizationMemory; updated is the time of
	// its last sample.
	utilization float64
	updated     time.Time

	flows, busy, allSlots float64
}

// reset removes the agents; the utilization stays.
func (p *pool) reset() {
	*p = pool{agents: p.agents[:0], bits: p.bits[:0], utilization: p.utilization, updated: p.updated}
}

// add lists an agent; only a usable one counts for the means.
func (p *pool) add(a *agent, usable bool) {
	p.agents = append(p.agents, a)
	p.bits = append(p.bits, a.bits)
	if !usable {
		return
	}
	pace, slots := a.paceFactor(), max(1, a.slots)
	if p.fastest == 0 || pace < p.fastest {
		p.fastest = pace
	}
	p.slots = max(p.slots, slots)
	p.flows += float64(a.flows) * pace
	p.busy += float64(min(a.announcedBusy, slots))
	p.allSlots += float64(slots)
}

// finish computes the means once all agents are listed.
func (p *pool) finish(now time.Time) {
	if p.allSlots == 0 {
		return
	}
	p.level = p.flows / p.allSlots
	weight := 1 - math.Exp(-float64(now.Sub(p.updated))/float64(utilizationMemory))
	p.utilization += weight * (p.busy/p.allSlots - p.utilization)
	p.updated = now
}

// relativeFlows is the target's open flows per slot, by pace, as a multiple of the mean.
func (p *pool) relativeFlows(a *agent) float64 {
	if p.level == 0 {
		return 1
	}
	return float64(a.openFlows()) * a.paceFactor() / float64(max(1, a.slots)) / p.level
}

// utilizationOf is the share of its slots that the target is expected to use for its open flows.
func (p *pool) utilizationOf(a *agent) float64 { return p.utilization * p.relativeFlows(a) }

// weight is the probability with which a drawn target is taken: in proportion to its capacity, corrected for having
// more or fewer open flows than the mean.
func (p *pool) weight(a *agent) float64 {
	slots := float64(max(1, a.slots))
	capacity := slots / float64(max(1, p.slots)) * min(1, p.fastest/a.paceFactor())
	correction := maxFlowWeight
	if relative := p.relativeFlows(a); relative > 0 {
		correction = min(max(1/relative, minFlowWeight), maxFlowWeight)
	}
	return capacity * correction / maxFlowWeight
}

// accepts reports whether a target is taken for a flow, given its tie break for it.
func (p *pool) accepts(a *agent, tie uint64) bool {
	return float64(flow.Mix(tie)>>11)/(1<<53) < p.weight(a)
}

// draw appends the first eligible targets, in the order in which searches ask for the flow's owner, that are taken
// according to their weights, longFlowSample at most. With fewer than that the weights do not count.
func (p *pool) draw(list []*agent, hash uint64, eligible func(*agent) bool) []*agent {
	drawn := p.first(list, hash, longFlowSample, func(a *agent, tie uint64) bool { return p.accepts(a, tie) && eligible(a) })
	if len(drawn) < longFlowSample {
		drawn = p.first(list, hash, longFlowSample, func(a *agent, _ uint64) bool { return eligible(a) })
	}
	return drawn
}

// first appends the agents with the lowest tie breaks for a flow that are accepted, most at most, in that order.
func (p *pool) first(list []*agent, hash uint64, most int, accept func(*agent, uint64) bool) []*agent {
	var ties [drawnAgents]uint64
	n := 0
	for i, bits := range p.bits {
		tie := flow.Mix(hash ^ bits)
		if n == most && tie >= ties[n-1] || !accept(p.agents[i], tie) {
			continue
		}
		if n == most {
			n--
			list = list[:len(list)-1]
		}
		at := 0
		for at < n && ties[at] < tie {
			at++
		}
		copy(ties[at+1:n+1], ties[at:n])
		ties[at] = tie
		list = slices.Insert(list, len(list)-n+at, p.agents[i])
		n++
	}
	return list
}
