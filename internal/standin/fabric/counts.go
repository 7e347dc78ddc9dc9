package fabric

import "sync/atomic"

// Counts are the fabric's totals in packets.
type Counts struct {
	// ToBalancers were sent to balancers, duplicates included.
	ToBalancers uint64
	// Lost were dropped on purpose.
	Lost uint64
	// Duplicated were sent twice on purpose.
	Duplicated uint64
	// Unroutable were dropped because no balancer was known.
	Unroutable uint64
	// ToCallers reached a caller.
	ToCallers uint64
	// Stray had no caller at their destination or were no IP packets.
	Stray uint64
}

type counters struct {
	toBalancers, lost, duplicated, unroutable, toCallers, stray atomic.Uint64
}

func (c *counters) read() Counts {
	return Counts{
		ToBalancers: c.toBalancers.Load(),
		Lost:        c.lost.Load(),
		Duplicated:  c.duplicated.Load(),
		Unroutable:  c.unroutable.Load(),
		ToCallers:   c.toCallers.Load(),
		Stray:       c.stray.Load(),
	}
}
