package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// maxComparedAgents is the number of agents of a data centre, or of all others, up to which all are compared for a
	// free slot; of more, drawnAgents that seem to be free are drawn by the flow's hash. Among these a target without a
	// request is nearly always found, and a search asks as many agents first.
	maxComparedAgents = 64
	drawnAgents       = SearchInitialAgents
)

// choice is the agent that a new flow is offered to next; patience says whether the flow may be queued there.
type choice struct {
	agent    *agent
	patience dsrpb.Patience
}

// choose returns the next agent for a new flow and counts the flow there, or false when no eligible agent is left.
func (b *Balancer) choose(now time.Time, f *flowState) (choice, bool) {
	if f.overLimit >= MaxLimitTries {
		return choice{}, false
	}
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
	list := b.compared(now, f, c, hasFreeSlot, typical)
	var best *agent
	var bestRank rank
	for _, a := range list {
		if r := b.rank(now, a, f.hash, hasFreeSlot, typical, c); best == nil || r.before(&bestRank) {
			best, bestRank = a, r
		}
	}
	return best
}

// compared returns the agents that are compared for a flow: those that seem to have a free slot, or a sample of all for a
// place in a queue. The slice is valid until the next call.
func (b *Balancer) compared(now time.Time, f *flowState, c *comparison, hasFreeSlot bool, typical time.Duration) []*agent {
	if !hasFreeSlot {
		return b.sample(f, b.eligibleAgents(now, f, b.services[f.service], func(*agent) bool { return true }))
	}
	isFree := func(a *agent) bool { return !a.suspect && a.hasFreeSlot(now) && !a.isSlow(typical) }
	if b.cfg.Without.NearFirst || b.isExcessOfDataCentre(now, f) {
		return b.spreadOut(now, f, b.eligibleAgents(now, f, b.services[f.service], isFree))
	}
	for _, p := range []*pool{&c.near, &c.far} {
		if free := b.freeAgents(now, f, p, isFree); len(free) > 0 {
			return free
		}
	}
	return nil
}

// freeAgents returns the eligible agents of a pool that are free, or the first few for the flow if the pool is large.
func (b *Balancer) freeAgents(now time.Time, f *flowState, p *pool, isFree func(*agent) bool) []*agent {
	if len(p.agents) <= maxComparedAgents {
		return b.eligibleAgents(now, f, p.agents, isFree)
	}
	regions := b.regionsOf(f)
	b.candidates = p.first(b.candidates[:0], f.hash, drawnAgents, func(a *agent, _ uint64) bool {
		return b.isUsable(now, a) && f.mayTry(now, a, regions) && isFree(a)
	})
	return b.withoutFailing(now, f.service, b.candidates)
}

// eligibleAgents returns the untried agents of a list that a flow may be offered to and that are accepted, in a slice
// that is valid until the next call.
func (b *Balancer) eligibleAgents(now time.Time, f *flowState, list []*agent, accept func(*agent) bool) []*agent {
	regions := b.regionsOf(f)
	b.candidates = b.candidates[:0]
	for _, a := range list {
		if b.isUsable(now, a) && f.mayTry(now, a, regions) && accept(a) {
			b.candidates = append(b.candidates, a)
		}
	}
	return b.withoutFailing(now, f.service, b.candidates)
}

// withoutFailing removes the failing targets of a service from a list, unless they are the majority of the service.
func (b *Balancer) withoutFailing(now time.Time, service string, list []*agent) []*agent {
	isFailing := func(a *agent) bool { return a.failing }
	if !slices.ContainsFunc(list, isFailing) {
		return list
	}
	if !b.excludesFailing(now, service) {
		return list
	}
	return slices.DeleteFunc(list, isFailing)
}

// excludesFailing reports whether the failing targets of a service are excluded.
func (b *Balancer) excludesFailing(now time.Time, service string) bool {
	var count healthCount
	for _, a := range b.services[service] {
		if b.isUsable(now, a) {
			count.add(a)
		}
	}
	return b.excludes(count)
}

func (b *Balancer) regionsOf(f *flowState) routing.Regions {
	return b.routes.Regions(b.routes.Route(f.key.Destination), f.service)
}

// mayTry reports whether the flow may reach the agent's region, has not been offered to it, and does not exceed the
// connection limit there.
func (f *flowState) mayTry(now time.Time, a *agent, regions routing.Regions) bool {
	return regions.Allow(a.region) && !a.atConnectionLimit(now, int(f.opening.MaxConnections)) && !slices.Contains(f.tried, a.addr)
}

// isUsable reports whether the agent accepts new flows and its data centre is not evacuated.
func (b *Balancer) isUsable(now time.Time, a *agent) bool {
	return a.canAccept(now) && !b.evacuations.Contains(a.dataCentre)
}

// healthCount counts the usable targets of a service by whether they fail.
type healthCount struct{ healthy, failing int }

func (c *healthCount) add(a *agent) {
	if a.failing {
		c.failing++
		return
	}
	c.healthy++
}

// excludes reports whether the failing targets of a service are to be excluded: not when they are the majority, since
// the cause is then unlikely to be in the targets.
func (b *Balancer) excludes(c healthCount) bool {
	return !b.cfg.Without.FailingLast && c.healthy >= c.failing
}

// sample returns the agents that are compared for a place in a queue: a few that differ from flow to flow, suspect ones
// last.
func (b *Balancer) sample(f *flowState, list []*agent) []*agent {
	if b.cfg.Without.SampledQueues || len(list) <= QueueSampleSize {
		return list
	}
	draw := f.hash + uint64(f.tries)
	// The sample is kept sorted at the front of the list.
	for i, a := range list {
		at := min(i, QueueSampleSize)
		for at > 0 && drawnBefore(draw, a, list[at-1]) {
			at--
		}
		if at < QueueSampleSize {
			last := min(i, QueueSampleSize-1)
			copy(list[at+1:last+1], list[at:last])
			list[at] = a
		}
	}
	return list[:QueueSampleSize]
}

// drawnBefore reports whether an agent is drawn before another for a place in a queue.
func drawnBefore(draw uint64, x, y *agent) bool {
	if x.suspect != y.suspect {
		return y.suspect
	}
	return flow.Mix(draw^x.bits) < flow.Mix(draw^y.bits)
}

// rank holds the sort keys of an agent for one flow, the most significant first.
type rank struct {
	suspect        bool
	remote         bool
	completionTime time.Duration
	load           float64
	tie            uint64
}

func (r *rank) before(o *rank) bool {
	switch {
	case r.suspect != o.suspect:
		return o.suspect
	case r.remote != o.remote:
		return o.remote
	case r.completionTime != o.completionTime:
		return r.completionTime < o.completionTime
	case r.load != o.load:
		return r.load < o.load
	}
	return r.tie < o.tie
}

// rank prefers free targets in the balancer's data centre, then those with the lowest load. Busy targets are ranked by
// estimated completion time wherever they are.
func (b *Balancer) rank(now time.Time, a *agent, hash uint64, hasFreeSlot bool, typical time.Duration, c *comparison) rank {
	r := rank{
		suspect: a.suspect,
		remote:  hasFreeSlot && !a.near && !b.cfg.Without.NearFirst,
		load:    a.load(now) * a.paceFactor(),
		tie:     flow.Mix(hash ^ a.bits),
	}
	if !hasFreeSlot {
		r.completionTime = a.expectedCompletion(now, typical, c)
	}
	return r
}

// tieBreak orders equally ranked agents for one flow; every balancer computes the same order.
func tieBreak(hash uint64, a netip.AddrPort) uint64 { return flow.Mix(hash ^ flow.AddrBits(a)) }
