package overload

import "time"

// Load is what one target reports.
type Load struct {
	// Capacity is in requests per second; 0 when it is not known.
	Capacity float64
	// Waiting is the number of requests that have no slot.
	Waiting float64
	Demands []Demand
}

// Picture is the sum of the loads of a service's usable targets. The zero value is empty.
type Picture struct {
	capacity, waiting float64
	demand            [maxPriorities]float64
	// targets is the number of usable targets, known that of targets that report their capacity; the sums are of these.
	targets, known int
}

func (p *Picture) Add(l Load) { p.apply(l, 1) }

func (p *Picture) Remove(l Load) { p.apply(l, -1) }

func (p *Picture) apply(l Load, sign float64) {
	p.targets += int(sign)
	if l.Capacity <= 0 {
		return
	}
	p.known += int(sign)
	p.capacity += sign * l.Capacity
	p.waiting += sign * l.Waiting
	for _, d := range l.Demands {
		p.demand[clampPriority(d.Priority)] += sign * d.PerSecond
	}
}

// wait is the time in which the targets work off what waits; false when less than half of them report it.
func (p *Picture) wait() (time.Duration, bool) {
	if p.capacity <= 0 || 2*p.known < p.targets {
		return 0, false
	}
	return time.Duration(max(0, p.waiting) / p.capacity * float64(time.Second)), true
}

// demands lists the demand by priority, the highest first.
func (p *Picture) demands() []Demand {
	var out []Demand
	for priority, perSecond := range p.demand {
		if perSecond >= minDemand {
			out = append(out, Demand{Priority: priority, PerSecond: perSecond})
		}
	}
	return out
}
