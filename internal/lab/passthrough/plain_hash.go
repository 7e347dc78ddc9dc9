package passthrough

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// silentExpiry is how long a plain hash keeps sending flows to a silent agent: four announcement intervals of 250 ms.
const silentExpiry = time.Second

// plainHash returns the time in which a flow would have opened if its balancer had sent each transmission of the opening
// packet to the target with the highest hash among those announced at that time. Dead is set if the first transmission
// would have gone to a dead agent.
func (l *lab) plainHash(caller netip.AddrPort, service string, began time.Time) (took time.Duration, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range openingSchedule {
		at := began.Add(c)
		n := l.hashed(caller, service, at)
		if n == nil {
			continue
		}
		if i == 0 {
			n.hashed++
		}
		if !n.isDownAt(at) {
			return c, dead
		}
		if i == 0 {
			dead = true
		}
	}
	return openTime, dead
}

// hashed returns the announced agent of a service with the highest hash for the flow, or nil. The caller must hold l.mu.
func (l *lab) hashed(caller netip.AddrPort, service string, at time.Time) *agentNode {
	var best *agentNode
	var highest uint64
	for _, n := range l.agents {
		if n.target.service != service || n.leaving || n.isDownAt(at) && at.Sub(n.deadAt) > silentExpiry {
			continue
		}
		h := xxhash.Sum64String(caller.String() + n.target.name)
		if best == nil || h > highest {
			best, highest = n, h
		}
	}
	return best
}

// isDownAt reports whether the agent was down at the given time.
func (n *agentNode) isDownAt(at time.Time) bool {
	return !n.deadAt.IsZero() && !at.Before(n.deadAt) && (n.backAt.IsZero() || at.Before(n.backAt))
}
