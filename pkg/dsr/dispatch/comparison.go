package dispatch

import (
	"slices"
	"time"
)

// comparisonMaxAge is how long a comparison of a service's targets is cached.
const comparisonMaxAge = 250 * time.Millisecond

// comparison is what a balancer derives from the reports of all targets of a service.
type comparison struct {
	at time.Time
	// expired is set when a report has changed which agents are compared.
	expired bool
	// near holds the service's agents in the balancer's data centre, far the others.
	near, far pool
	// excludeFailing is set while failing targets are no majority.
	excludeFailing bool
	// typical is the mean of the targets' reported work times.
	typical time.Duration
	// longFlows is set when flows carry several requests.
	longFlows bool
	// imbalance is the load by pace of the busiest target as a multiple of the mean; 0 without load.
	imbalance float64
}

// comparisonOf returns the current comparison of a service's targets.
func (b *Balancer) comparisonOf(now time.Time, service string) *comparison {
	c := b.comparisons[service]
	if c != nil && !c.expired && now.Sub(c.at) < comparisonMaxAge {
		return c
	}
	if c == nil {
		c = &comparison{}
		b.comparisons[service] = c
	}
	c.longFlows = b.carriesLongFlows(now, service)
	b.comparePaces(now, c, service)
	b.compareLoads(now, c, service)
	c.at, c.expired = now, false
	return c
}

// expireComparison has the targets of a service compared anew when the comparison is next used.
func (b *Balancer) expireComparison(service string) {
	if c := b.comparisons[service]; c != nil {
		c.expired = true
	}
}

// compareLoads lists the agents by data centre and compares the loads of their targets.
func (b *Balancer) compareLoads(now time.Time, c *comparison, service string) {
	c.near.reset()
	c.far.reset()
	var all, allSlots, busiest float64
	var count healthCount
	for _, a := range b.services[service] {
		usable := b.isUsable(now, a)
		c.poolOf(a).add(a, usable)
		if usable {
			count.add(a)
			slots, load := float64(max(1, a.slots)), a.loadByPace(c.longFlows)
			all, allSlots = all+load, allSlots+slots
			busiest = max(busiest, load/slots)
		}
	}
	c.excludeFailing = b.excludes(count)
	c.near.finish(now)
	c.far.finish(now)
	c.imbalance = 0
	if all > 0 {
		c.imbalance = busiest * allSlots / all
	}
}

// poolOf returns the pool that holds an agent of the service.
func (c *comparison) poolOf(a *agent) *pool {
	if a.near {
		return &c.near
	}
	return &c.far
}

// loadByPace is what the target gets, in units of its service's typical pace: its open flows where they carry several
// requests, and else its rate of new flows.
func (a *agent) loadByPace(longFlows bool) float64 {
	if longFlows {
		return float64(a.flows) * a.paceFactor()
	}
	return a.rate * a.paceFactor()
}

// carriesLongFlows reports whether flows of a service carry several requests.
func (b *Balancer) carriesLongFlows(now time.Time, service string) bool {
	if b.cfg.Without.FlowWeight {
		return false
	}
	return slices.ContainsFunc(b.services[service], func(a *agent) bool { return a.repeated && b.isUsable(now, a) })
}
