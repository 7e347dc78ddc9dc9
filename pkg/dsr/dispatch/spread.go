package dispatch

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// spreadAge is how long a comparison of data centres is used.
	spreadAge = 250 * time.Millisecond
	// unevenAt is the part by which targets of the own data centre may get more than the mean of all before flows go elsewhere: beyond it
	// the busiest targets would get a tenth more than the mean.
	unevenAt = 0.02
	// correction is the part of what is beyond the mean that goes elsewhere. What remains is what asks for it, so that more than all of it is
	// asked for; with twice the part, the remainder is a third of what it was.
	correction = 2
)

// spread compares the load of a service's targets in the own data centre with that of all.
type spread struct {
	at time.Time
	// mean is the number of new flows that a slot of all targets gets in a second, excess the part of the own data centre's flows that goes
	// elsewhere; 0 when it gets no more than others.
	mean, excess float64
}

// spreadOf is the present comparison for a service.
func (b *Balancer) spreadOf(now time.Time, service string) spread {
	if s, found := b.spreads[service]; found && now.Sub(s.at) < spreadAge {
		return s
	}
	var near, all, nearSlots, allSlots float64
	for _, a := range b.services[service] {
		if !b.usable(now, a) {
			continue
		}
		slots := float64(max(1, a.slots))
		all, allSlots = all+a.rate, allSlots+slots
		if a.dataCentre == b.cfg.DataCentre {
			near, nearSlots = near+a.rate, nearSlots+slots
		}
	}
	s := spread{at: now}
	if nearSlots > 0 && near > 0 {
		s.mean = all / allSlots
		s.excess = correction * max(0, 1-s.mean/(near/nearSlots)-unevenAt)
	}
	b.spreads[service] = s
	return s
}

// spreadOut leaves those of the free targets for a flow that share what the own data centre gets beyond the mean: targets elsewhere that get
// less than the mean. Callers of one data centre may be more than its targets' part of all.
func (b *Balancer) spreadOut(now time.Time, f *flowState, free []*agent) []*agent {
	s := b.spreadOf(now, f.service)
	if b.cfg.Without.SpreadOut || float64(flow.Mix(f.hash)>>11)/(1<<53) >= s.excess {
		return free
	}
	below := func(a *agent) bool {
		return a.dataCentre != b.cfg.DataCentre && a.rate < s.mean*float64(max(1, a.slots))
	}
	if !slices.ContainsFunc(free, below) {
		return free
	}
	return slices.DeleteFunc(free, func(a *agent) bool { return !below(a) })
}
