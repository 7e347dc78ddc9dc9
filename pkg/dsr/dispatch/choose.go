package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// choice is the agent that a new flow is offered to next.
type choice struct {
	agent    *agent
	patience dsrpb.Patience
}

// choose returns the next agent for a new flow that tried others before, or nothing when no agent is worth asking.
func (b *Balancer) choose(now time.Time, f *flowState) (choice, bool) {
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

// best returns the untried agent with the lowest load; with free set, one that seems to have a free slot, in the own data
// centre where there is one. Suspect agents come last. Those whose targets fail are left out, as long as they are the fewer.
func (b *Balancer) best(now time.Time, f *flowState, free bool) *agent {
	usual := b.usualWork(f.service)
	list := b.worthAsking(now, f)
	if free {
		list = slices.DeleteFunc(list, func(a *agent) bool { return a.suspect || !a.free(now) || a.slow(usual) })
		list = b.spreadOut(now, f, list)
	} else {
		list = b.sample(f, list)
	}
	var best *agent
	var bestRank rank
	for _, a := range list {
		if r := b.rank(now, a, f.hash, free, usual); best == nil || r.before(bestRank) {
			best, bestRank = a, r
		}
	}
	return best
}

// worthAsking are the untried agents that take flows of the service, in a slice that is valid until the next call.
func (b *Balancer) worthAsking(now time.Time, f *flowState) []*agent {
	leaveOut := b.leaveFailingOut(now, f.service)
	regions := b.routes.Regions(b.routes.Route(f.key.Destination), f.service)
	b.candidates = b.candidates[:0]
	for _, a := range b.services[f.service] {
		if !b.usable(now, a) || a.failing && leaveOut || !regions.Allow(a.region) || slices.Contains(f.tried, a.addr) {
			continue
		}
		b.candidates = append(b.candidates, a)
	}
	return b.candidates
}

// usable reports whether the agent is worth asking about a new flow, and its data centre is in use.
func (b *Balancer) usable(now time.Time, a *agent) bool {
	return a.takes(now) && !b.evacuations.Contains(a.dataCentre)
}

// leaveFailingOut reports whether the targets that fail are the fewer ones of a service. When most seem to fail, the reason is not theirs.
func (b *Balancer) leaveFailingOut(now time.Time, service string) bool {
	if b.cfg.Without.FailingLast {
		return false
	}
	healthy, failing := 0, 0
	for _, a := range b.services[service] {
		switch {
		case !b.usable(now, a):
		case a.failing:
			failing++
		default:
			healthy++
		}
	}
	return healthy >= failing
}

// sample keeps the agents that are compared for a place in a queue: some of them, others for each flow, those that are not suspect first.
func (b *Balancer) sample(f *flowState, list []*agent) []*agent {
	if b.cfg.Without.SampledQueues || len(list) <= QueueSample {
		return list
	}
	draw := f.hash + uint64(f.tries)
	slices.SortFunc(list, func(x, y *agent) int {
		return cmp.Or(compareTrue(!x.suspect, !y.suspect), cmp.Compare(tieOf(draw, x.addr), tieOf(draw, y.addr)))
	})
	return list[:QueueSample]
}

// rank is the order of two agents for one flow.
type rank struct {
	suspect bool
	remote  bool
	finish  time.Duration
	load    float64
	tie     uint64
}

func (r rank) before(o rank) bool {
	return cmp.Or(
		compareTrue(o.suspect, r.suspect),
		compareTrue(o.remote, r.remote),
		cmp.Compare(r.finish, o.finish),
		cmp.Compare(r.load, o.load),
		cmp.Compare(r.tie, o.tie),
	) < 0
}

// rank compares free targets by place: one of the same data centre serves as early as any other. Busy ones are compared by when
// they will have answered.
func (b *Balancer) rank(now time.Time, a *agent, hash uint64, free bool, usual time.Duration) rank {
	r := rank{
		suspect: a.suspect,
		remote:  free && a.dataCentre != b.cfg.DataCentre && !b.cfg.Without.NearFirst,
		load:    a.load(now),
		tie:     tieOf(hash, a.addr),
	}
	if !free {
		r.finish = a.finish(now, usual)
	}
	return r
}

// tieOf orders equally busy agents for one flow.
func tieOf(hash uint64, a netip.AddrPort) uint64 { return flow.Mix(hash ^ flow.AddrBits(a)) }
