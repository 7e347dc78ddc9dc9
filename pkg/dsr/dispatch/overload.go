package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// maxDemandAge bounds the age of an announced demand; an older one says nothing about a burst of a few seconds.
const maxDemandAge = 10 * time.Second

// recordDemand records the announced capacity and demand of the target. Agents of earlier releases announce none.
func (a *agent) recordDemand(now time.Time, n *dsrpb.Announcement) {
	a.capacity, a.demandAt = float64(n.CapacityPerSecond), now
	a.demands = make([]overload.Demand, 0, len(n.Demands))
	for _, d := range n.Demands {
		a.demands = append(a.demands, overload.Demand{Priority: int(d.Priority), PerSecond: float64(d.PerSecond)})
	}
}

// reportedLoad is the target's load by its last messages. Its capacity is unknown when the announced demand is too old.
func (a *agent) reportedLoad(now time.Time) overload.Load {
	if a.capacity <= 0 || now.Sub(a.demandAt) > min(2*cmp.Or(a.interval, AgentSilenceTimeout), maxDemandAge) {
		return overload.Load{}
	}
	capacity := a.capacity
	if a.workTime > 0 {
		capacity = float64(max(1, a.slots)) / a.workTime.Seconds()
	}
	if a.coldLimit.InForce(now) {
		capacity = min(capacity, a.coldLimit.PerSecond)
	}
	return overload.Load{Capacity: capacity, Waiting: float64(max(0, a.busy-a.slots)), Demands: a.demands}
}

// overloadOf returns the decisions about a service.
func (b *Balancer) overloadOf(service string) *overload.Service {
	s := b.overloads[service]
	if s == nil {
		s = overload.NewService()
		b.overloads[service] = s
	}
	return s
}

// countLoad puts the agent's current load into the picture of its service.
func (b *Balancer) countLoad(now time.Time, a *agent) {
	b.uncountLoad(a)
	if a.service == "" || !b.isUsable(now, a) || a.failing {
		return
	}
	a.countedLoad, a.counted = a.reportedLoad(now), true
	b.overloadOf(a.service).Picture.Add(a.countedLoad)
}

func (b *Balancer) uncountLoad(a *agent) {
	if !a.counted {
		return
	}
	a.counted = false
	b.overloadOf(a.service).Picture.Remove(a.countedLoad)
}

// recountLoads builds the pictures of all services anew: reports have aged since, and targets may not be used any more.
func (b *Balancer) recountLoads(now time.Time) {
	for _, s := range b.overloads {
		s.Picture = overload.Picture{}
	}
	for _, a := range b.order {
		a.counted = false
		b.countLoad(now, a)
	}
	for _, service := range slices.Sorted(maps.Keys(b.overloads)) {
		b.updateOverload(now, service)
		if len(b.services[service]) == 0 {
			delete(b.overloads, service)
		}
	}
}

// updateOverload applies the picture of a service and reports when an overload begins or ends. A balancer that hears of no
// agent has no picture.
func (b *Balancer) updateOverload(now time.Time, service string) {
	if service == "" {
		return
	}
	s := b.overloadOf(service)
	if now.Sub(b.lastSeen) > IsolatedAfter {
		s.Picture = overload.Picture{}
	}
	if s.Update(now, cmp.Or(b.routes.Aim(service), overload.DefaultAim)) {
		b.out.SaturationChanged(s.Status(service))
	}
}

// takes reports whether a new flow is within the share of its priority that is taken. Only flows whose callers can be told
// are refused: others may be open elsewhere.
func (b *Balancer) takes(now time.Time, f *flowState, priority int) bool {
	if f.taken {
		return true
	}
	s := b.overloadOf(f.service)
	b.recordOffered(now, f, s, priority)
	if b.isExcess(now, f, s, priority) {
		return false
	}
	f.taken = true
	s.Taken(now, priority)
	return true
}

// recordOffered counts a new flow as demand, once, and recognises further tries.
func (b *Balancer) recordOffered(now time.Time, f *flowState, s *overload.Service, priority int) {
	if f.offered {
		return
	}
	f.offered = true
	f.retry = b.callers.Offered(now, f.key.Source.Addr())
	s.Offered(now, priority, b.moderation(now, f))
	if !f.retry {
		b.retryBudget.Deposit()
	}
}

// isExcess reports whether a new flow is refused because of an overload.
func (b *Balancer) isExcess(now time.Time, f *flowState, s *overload.Service, priority int) bool {
	if !s.Saturated() || b.cfg.Without.ShedExcess || f.uncertain || now.Sub(f.arrived) >= FirstRetransmission {
		return false
	}
	b.updateOverload(now, f.service)
	share := s.Share(priority)
	if share >= 1 {
		return false
	}
	if !overload.Takes(share*b.moderation(now, f), f.hash) {
		return true
	}
	return f.retry && !b.cfg.Without.RetryBudget && !b.retryBudget.Withdraw()
}

// moderation is the factor by which the share of a caller is reduced for asking for more than others.
func (b *Balancer) moderation(now time.Time, f *flowState) float64 {
	if b.cfg.Without.FairCallers {
		return 1
	}
	return b.callers.Moderation(now, f.key.Source.Addr())
}

// recordRequest counts a further request on an open flow as demand of its service.
func (b *Balancer) recordRequest(now time.Time, f *flowState, s segment.Segment) {
	later := f.hasData
	if !f.recordNewData(s) || !later || f.service == "" {
		return
	}
	b.overloadOf(f.service).Later(now, int(f.opening.Priority))
}

// recordNewData reports whether a packet has data that its caller has not sent before, and records its end.
func (f *flowState) recordNewData(s segment.Segment) bool {
	end := s.Sequence + uint32(s.Length)
	if s.Length == 0 || f.hasData && int32(end-f.dataEnd) <= 0 {
		return false
	}
	f.hasData, f.dataEnd = true, end
	return true
}

// Overloads returns the pictures of all services, by name, for operators.
func (b *Balancer) Overloads() []overload.Status {
	var out []overload.Status
	for _, service := range slices.Sorted(maps.Keys(b.overloads)) {
		out = append(out, b.Overload(service))
	}
	return out
}

// Overload returns the picture of a service for operators.
func (b *Balancer) Overload(service string) overload.Status {
	if s := b.overloads[service]; s != nil {
		return s.Status(service)
	}
	return overload.Status{Service: service}
}
