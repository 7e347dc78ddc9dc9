package dispatch

import "time"

// Deadline is when Tick has to be called next.
func (b *Balancer) Deadline() time.Time {
	next := b.swept.Add(sweepInterval)
	for _, queue := range [][]due{b.hedges, b.locates, b.probes, b.later, b.parks} {
		if len(queue) > 0 && queue[0].at.Before(next) {
			next = queue[0].at
		}
	}
	return next
}

// Tick carries out what has become due.
func (b *Balancer) Tick(now time.Time) {
	for _, d := range take(&b.hedges, now) {
		b.hedge(now, d.flow, d.at)
	}
	for _, d := range take(&b.locates, now) {
		b.searchOverdue(now, d)
	}
	for _, d := range take(&b.probes, now) {
		b.probeOverdue(now, d)
	}
	for _, d := range take(&b.later, now) {
		if b.flows[d.flow.key] == d.flow {
			b.searchAgain(now, d)
		}
	}
	for _, d := range take(&b.parks, now) {
		if b.flows[d.flow.key] == d.flow {
			b.unpark(now, d.flow)
		}
	}
	if now.Sub(b.swept) >= sweepInterval {
		b.sweep(now)
	}
}

// take removes the entries that are due from the front of a queue.
func take(queue *[]due, now time.Time) []due {
	n := 0
	for n < len(*queue) && !(*queue)[n].at.After(now) {
		n++
	}
	ready := (*queue)[:n]
	*queue = (*queue)[n:]
	return ready
}

// sweep forgets flows and agents that were silent for too long.
func (b *Balancer) sweep(now time.Time) {
	b.swept = now
	b.forgetUsual(now)
	idle := b.routes.IdleTimeout()
	for key, f := range b.flows {
		silent := now.Sub(f.touched)
		switch {
		case silent > idle,
			f.phase == refused && silent > RefusedLinger,
			f.closed && silent > ClosedLinger,
			f.phase == lost && silent > ClosedLinger:
			delete(b.flows, key)
		}
	}
	kept := b.order[:0]
	for _, a := range b.order {
		if now.Sub(a.heard) > a.silence()+AgentExpiry {
			b.leave(a)
			delete(b.agents, a.addr)
			continue
		}
		kept = append(kept, a)
	}
	b.order = kept
}
