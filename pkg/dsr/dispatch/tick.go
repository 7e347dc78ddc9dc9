package dispatch

import "time"

// Deadline returns when Tick has to be called next.
func (b *Balancer) Deadline() time.Time {
	next := b.lastSweep.Add(sweepInterval)
	for _, queue := range [][]due{b.hedges, b.locates, b.probes, b.probeWindows, b.secondSearches, b.parkedFlows, b.rechecks, b.slowRechecks} {
		if len(queue) > 0 && queue[0].at.Before(next) {
			next = queue[0].at
		}
	}
	if len(b.collecting) > 0 && b.collectAt.Before(next) {
		next = b.collectAt
	}
	return next
}

// Tick processes all timers that have expired.
func (b *Balancer) Tick(now time.Time) {
	for _, d := range takeDue(&b.hedges, now) {
		b.hedge(now, d.flow, d.at)
	}
	b.sendCollected(now)
	for _, d := range takeDue(&b.slowRechecks, now) {
		if b.flows[d.flow.key] == d.flow {
			b.recheckDue(now, d)
		}
	}
	for _, d := range takeDue(&b.rechecks, now) {
		b.recheckDue(now, d)
	}
	for _, d := range takeDue(&b.locates, now) {
		b.searchTimedOut(now, d)
	}
	for _, d := range takeDue(&b.probes, now) {
		b.probeTimedOut(now, d)
	}
	for _, d := range takeDue(&b.probeWindows, now) {
		if b.flows[d.flow.key] == d.flow {
			b.probeWindowOver(now, d)
		}
	}
	for _, d := range takeDue(&b.secondSearches, now) {
		if b.flows[d.flow.key] == d.flow {
			b.secondSearch(now, d)
		}
	}
	for _, d := range takeDue(&b.parkedFlows, now) {
		if b.flows[d.flow.key] == d.flow {
			b.recheckParked(now, d.flow)
		}
	}
	if now.Sub(b.lastSweep) >= sweepInterval {
		b.sweep(now)
	}
}

// takeDue removes and returns the expired entries at the front of a queue.
func takeDue(queue *[]due, now time.Time) []due {
	n := 0
	for n < len(*queue) && !(*queue)[n].at.After(now) {
		n++
	}
	ready := (*queue)[:n]
	*queue = (*queue)[n:]
	return ready
}

// sweep removes idle flows and agents that were silent for too long.
func (b *Balancer) sweep(now time.Time) {
	b.lastSweep = now
	b.expireMedians(now)
	b.directory.Expire(now)
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
		if now.Sub(a.lastSeen) > a.silenceTimeout()+AgentExpiry {
			b.removeFromService(a)
			b.dropCollected(a)
			delete(b.agents, a.addr)
			continue
		}
		kept = append(kept, a)
	}
	b.order = kept
	b.recountLoads(now)
}
