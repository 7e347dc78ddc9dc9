package dispatch

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// spreadMaxAge is how long a comparison of data centres is cached.
	spreadMaxAge = 250 * time.Millisecond
	// imbalanceTolerance is the fraction by which the local load may exceed the mean of all data centres before flows
	// go elsewhere: beyond it the busiest targets would get a tenth more than the mean.
	imbalanceTolerance = 0.02
	// correctionGain scales the excess that is sent elsewhere. The excess is computed from the load that remains after
	// the correction; a gain of two brings the remainder to a third of the original excess.
	correctionGain = 2
)

// spread compares the load of a service's local targets with that of all its targets.
type spread struct {
	at time.Time
	// mean is the rate of new flows per slot over all targets, per second, weighted by pace; excess is the fraction of this balancer's
	// flows to send to other data centres, 0 when the local load is not above the mean.
	mean, excess float64
}

// spreadOf returns the current comparison for a service.
func (b *Balancer) spreadOf(now time.Time, service string) spread {
	if s, found := b.spreads[service]; found && now.Sub(s.at) < spreadMaxAge {
		return s
	}
	var near, all, nearSlots, allSlots float64
	for _, a := range b.services[service] {
		if !b.isUsable(now, a) {
			continue
		}
		slots := float64(max(1, a.slots))
		all, allSlots = all+a.loadByPace(false), allSlots+slots
		if a.dataCentre == b.cfg.DataCentre {
			near, nearSlots = near+a.loadByPace(false), nearSlots+slots
		}
	}
	s := spread{at: now}
	if nearSlots > 0 && near > 0 {
		s.mean = all / allSlots
		s.excess = correctionGain * max(0, 1-s.mean/(near/nearSlots)-imbalanceTolerance)
	}
	b.spreads[service] = s
	return s
}

// isExcessOfDataCentre reports whether a flow belongs to the excess of the local data centre.
func (b *Balancer) isExcessOfDataCentre(now time.Time, f *flowState) bool {
	return !b.cfg.Without.SpreadOut && float64(flow.Mix(f.hash)>>11)/(1<<53) < b.spreadOf(now, f.service).excess
}

// spreadOut narrows the free targets of a flow that belongs to the excess of the local data centre to targets elsewhere
// with less than the mean load. The callers of a data centre may exceed its targets' share of the total.
func (b *Balancer) spreadOut(now time.Time, f *flowState, free []*agent) []*agent {
	if !b.isExcessOfDataCentre(now, f) {
		return free
	}
	s := b.spreadOf(now, f.service)
	below := func(a *agent) bool {
		return a.dataCentre != b.cfg.DataCentre && a.loadByPace(false) < s.mean*float64(max(1, a.slots))
	}
	if !slices.ContainsFunc(free, below) {
		return free
	}
	return slices.DeleteFunc(free, func(a *agent) bool { return !below(a) })
}
