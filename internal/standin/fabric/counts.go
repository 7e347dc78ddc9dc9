package fabric

import "sync/atomic"

// Counts are the fabric's totals in packets.
type Counts struct {
	// ToBalancers counts packets sent to balancers, duplicates included.
	ToBalancers uint64
	// Lost counts packets dropped by the loss fault or because sending failed.
	Lost uint64
	// Duplicated counts packets sent twice by the duplicate fault.
	Duplicated uint64
	// Unroutable counts packets dropped because the fabric had no balancer.
	Unroutable uint64
	// ToCallers counts packets delivered to a caller.
	ToCallers uint64
	// Stray counts packets that are malformed or whose destination is not a caller.
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
