package dispatch

import (
	"cmp"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// longFlowSample is the number of targets that are compared for a flow that carries several requests.
	longFlowSample = 2
)

// openFlows estimates the open flows of the target: those reported and those offered since.
func (a *agent) openFlows() int { return a.flows + a.opened }

// expectedCompletion estimates the time until the target has answered a request of a new flow. Where flows carry
// several requests, it is at least the mean time at the load that the open flows bring.
func (a *agent) expectedCompletion(now time.Time, typical time.Duration, c *comparison) time.Duration {
	completion := a.completionTime(now, typical)
	if !c.longFlows {
		return completion
	}
	workTime := a.expectedWorkTime(typical)
	return max(completion, workTime+estimate.QueueingDelay(c.poolOf(a).utilizationOf(a), a.slots, workTime))
}

// meetsAim reports whether a long request that completes at the expected time would be answered in the time promised to
// the caller; a flow without a promised time always is.
func meetsAim(f *flowState, completion, workTime time.Duration) bool {
	aim := time.Duration(f.opening.AimMs) * time.Millisecond
	return aim == 0 || completion-workTime+admission.Margin(workTime, aim) <= aim
}

// longFlowRank holds the sort keys of a target for a flow that carries several requests, the most significant first.
type longFlowRank struct {
	late, full bool
	load       float64
	tie        uint64
}

func (r *longFlowRank) before(o *longFlowRank) bool {
	switch {
	case r.late != o.late:
		return o.late
	case r.full != o.full:
		return o.full
	case r.load != o.load:
		return r.load < o.load
	}
	return r.tie < o.tie
}

// bestForLongFlow returns the target that a flow with several requests is offered to: the least loaded by pace of a few
// in the balancer's data centre, or of a few elsewhere if these answer earlier and the near ones would be late.
func (b *Balancer) bestForLongFlow(now time.Time, f *flowState, c *comparison) *agent {
	near, nearRank := b.leastLoaded(now, f, c, &c.near)
	if near != nil && !nearRank.late {
		return near
	}
	far, _ := b.leastLoaded(now, f, c, &c.far)
	if near == nil || far == nil {
		return cmp.Or(near, far)
	}
	typical := b.typicalWorkTime(f.service)
	if far.expectedCompletion(now, typical, c) < near.expectedCompletion(now, typical, c) {
		return far
	}
	return near
}

// leastLoaded returns the best-ranked of the eligible agents that are drawn from a list for the flow, or nil.
func (b *Balancer) leastLoaded(now time.Time, f *flowState, c *comparison, p *pool) (*agent, longFlowRank) {
	var best *agent
	var bestRank longFlowRank
	typical := b.typicalWorkTime(f.service)
	regions := b.regionsOf(f)
	b.candidates = p.draw(b.candidates[:0], f.hash, func(a *agent) bool {
		return !a.suspect && !a.isSlow(typical) && !(a.failing && c.excludeFailing) && b.isUsable(now, a) && f.mayTry(now, a, regions)
	})
	for _, a := range b.candidates {
		completion := a.expectedCompletion(now, typical, c)
		r := longFlowRank{
			late: !meetsAim(f, completion, a.expectedWorkTime(typical)),
			full: !a.hasFreeSlot(now),
			load: a.load(now),
			tie:  flow.Mix(f.hash ^ a.bits),
		}
		if best == nil || r.before(&bestRank) {
			best, bestRank = a, r
		}
	}
	return best, bestRank
}

// recordLongFlows records what an announcement says about the target's flows.
func (a *agent) recordLongFlows(now time.Time, n *dsrpb.Announcement, busy uint32) {
	a.flows, a.opened, a.announced = int(n.Flows), 0, now
	a.repeated, a.announcedBusy = n.RepeatedRequests, int(busy)
}
