package overload

import (
	"time"
)

// maxPriorities bounds the priorities that are told apart; lower ones count as the lowest of these.
const maxPriorities = 8

// Demand is the rate of requests of one priority; priority 0 is the highest.
type Demand struct {
	Priority  int
	PerSecond float64
}

// Meter measures the requests that are asked of one target. The zero value is ready for use.
type Meter struct {
	rates [maxPriorities]rate
}

// Record counts a request.
func (m *Meter) Record(now time.Time, priority int) {
	r := &m.rates[clampPriority(priority)]
	r.over = demandTime
	r.record(now, 1)
}

// Demands returns the rates by priority, the highest priority first, without those that were not asked for lately.
func (m *Meter) Demands(now time.Time) []Demand {
	var out []Demand
	for p := range m.rates {
		if m.rates[p].over == 0 {
			continue
		}
		if perSecond := m.rates[p].perSecond(now); perSecond >= minDemand {
			out = append(out, Demand{Priority: p, PerSecond: perSecond})
		}
	}
	return out
}

// minDemand is the rate below which a priority is not reported, in requests per second.
const minDemand = 0.01

func clampPriority(p int) int { return min(max(0, p), maxPriorities-1) }
