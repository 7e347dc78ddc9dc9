package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// choice is the agent that a new flow is offered to next; patience says whether the flow may be queued there.
type choice struct {
	agent    *agent
	patience dsrpb.Patience
}

// choose returns the next agent for a new flow and counts the flow there, or false when no eligible agent is left.
func (b *Balancer) choose(now time.Time, f *flowState) (choice, bool) {
	c, ok := b.nextAgent(now, f)
	if ok {
		f.expected = c.agent.expectedCompletion(now, b.typicalWorkTime(f.service), b.comparisonOf(now, f.service))
		c.agent.opened++
	}
	return c, ok
}

// nextAgent returns the next agent for a new flow. It turns from free slots to queues once free slots or tries are used
// up.
func (b *Balancer) nextAgent(now time.Time, f *flowState) (choice, bool) {
	if f.patience == dsrpb.Patience_PATIENCE_FREE_SLOT && len(f.tried) < MaxFreeTries {
		if a := b.best(now, f, true); a != nil {
			return choice{agent: a, patience: dsrpb.Patience_PATIENCE_FREE_SLOT}, true
		}
	}
	if f.patience == dsrpb.Patience_PATIENCE_FREE_SLOT {
		f.patience = dsrpb.Patience_PATIENCE_QUEUE
		f.tried = append(f.tried[:0], f.failed...)
	}
	if len(f.tried)-len(f.failed) >= MaxQueueTries {
		return choice{}, false
	}
	if a := b.best(now, f, false); a != nil {
		return choice{agent: a, patience: dsrpb.Patience_PATIENCE_QUEUE}, true
	}
	return choice{}, false
}

// best returns the best-ranked untried agent. With hasFreeSlot set, only targets that seem to have one count; else a
// sample of all targets is compared. Suspect agents come last. Failing targets are excluded while they are no majority.
func (b *Balancer) best(now time.Time, f *flowState, hasFreeSlot bool) *agent {
	c := b.comparisonOf(now, f.service)
	if hasFreeSlot && c.longFlows {
		return b.bestForLongFlow(now, f, c)
	}
	typical := b.typicalWorkTime(f.service)
	list := b.eligibleAgents(now, f)
	if hasFreeSlot {
		list = slices.DeleteFunc(list, func(a *agent) bool { return a.suspect || !a.hasFreeSlot(now) || a.isSlow(typical) })
		list = b.spreadOut(now, f, list)
	} else {
		list = b.sample(f, list)
	}
	var best *agent
	var bestRank rank
	for _, a := range list {
		if r := b.rank(now, a, f.hash, hasFreeSlot, typical, c); best == nil || r.before(bestRank) {
			best, bestRank = a, r
		}
	}
	return best
}

// eligibleAgents returns the untried agents that a flow may be offered to, in a slice that is valid until the next
// call.
func (b *Balancer) eligibleAgents(now time.Time, f *flowState) []*agent {
	allowed := b.filterOf(f, b.excludesFailing(now, f.service))
	b.candidates = b.candidates[:0]
	for _, a := range b.services[f.service] {
		if b.isEligible(now, f, allowed, a) {
			b.candidates = append(b.candidates, a)
		}
	}
	return b.candidates
}

// filter says which agents of a service a flow may be offered to.
type filter struct {
	regions        routing.Regions
	excludeFailing bool
}

func (b *Balancer) filterOf(f *flowState, excludeFailing bool) filter {
	return filter{regions: b.routes.Regions(b.routes.Route(f.key.Destination), f.service), excludeFailing: excludeFailing}
}

// isEligible reports whether the flow may be offered to an agent and has not been.
func (b *Balancer) isEligible(now time.Time, f *flowState, allowed filter, a *agent) bool {
	return b.isUsable(now, a) && !(a.failing && allowed.excludeFailing) && allowed.regions.Allow(a.region) && !slices.Contains(f.tried, a.addr)
}

// isUsable reports whether the agent accepts new flows and its data centre is not evacuated.
func (b *Balancer) isUsable(now time.Time, a *agent) bool {
	return a.canAccept(now) && !b.evacuations.Contains(a.dataCentre)
}

// excludesFailing reports whether the failing targets of a service are to be excluded: not when they are the majority,
// since the cause is then unlikely to be in the targets.
func (b *Balancer) excludesFailing(now time.Time, service string) bool {
	if b.cfg.Without.FailingLast {
		return false
	}
	healthy, failing := 0, 0
	for _, a := range b.services[service] {
		switch {
		case !b.isUsable(now, a):
		case a.failing:
			failing++
		default:
			healthy++
		}
	}
	return healthy >= failing
}

// sample returns the agents that are compared for a place in a queue: a few that differ from flow to flow, suspect ones
// last.
func (b *Balancer) sample(f *flowState, list []*agent) []*agent {
	if b.cfg.Without.SampledQueues || len(list) <= QueueSampleSize {
		return list
	}
	draw := f.hash + uint64(f.tries)
	slices.SortFunc(list, func(x, y *agent) int {
		return cmp.Or(compareTrue(!x.suspect, !y.suspect), cmp.Compare(tieBreak(draw, x.addr), tieBreak(draw, y.addr)))
	})
	return list[:QueueSampleSize]
}

// rank holds the sort keys of an agent for one flow, the most significant first.
type rank struct {
	suspect        bool
	remote         bool
	completionTime time.Duration
	load           float64
	tie            uint64
}

func (r rank) before(o rank) bool {
	return cmp.Or(
		compareTrue(o.suspect, r.suspect),
		compareTrue(o.remote, r.remote),
		cmp.Compare(r.completionTime, o.completionTime),
		cmp.Compare(r.load, o.load),
		cmp.Compare(r.tie, o.tie),
	) < 0
}

// rank prefers free targets in the balancer's data centre, then those with the lowest load. Busy targets are ranked by
// estimated completion time wherever they are.
func (b *Balancer) rank(now time.Time, a *agent, hash uint64, hasFreeSlot bool, typical time.Duration, c *comparison) rank {
	r := rank{
		suspect: a.suspect,
		remote:  hasFreeSlot && a.dataCentre != b.cfg.DataCentre && !b.cfg.Without.NearFirst,
		load:    a.load(now) * a.paceFactor(),
		tie:     tieBreak(hash, a.addr),
	}
	if !hasFreeSlot {
		r.completionTime = a.expectedCompletion(now, typical, c)
	}
	return r
}

// tieBreak orders equally ranked agents for one flow; every balancer computes the same order.
func tieBreak(hash uint64, a netip.AddrPort) uint64 { return flow.Mix(hash ^ flow.AddrBits(a)) }
