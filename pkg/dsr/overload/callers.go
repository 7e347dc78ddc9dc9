package overload

import (
	"net/netip"
	"time"
)

const (
	// maxCallers bounds the addresses that a balancer remembers, of about 100 bytes each.
	maxCallers = 4096
	// RetryWindow is how long after a refusal or a failure a new flow of the same address counts as a further try: callers
	// come back at once, or when they have given up waiting for an answer to their opening packet.
	RetryWindow = 1500 * time.Millisecond
	// maxAttributed is the number of flows that an address may open within RetryWindow for a flow to be recognised as a
	// further try: behind an address with more there are several callers, and most flows are first tries of others.
	maxAttributed = 5
	// floodFactor is the multiple of the usual rate of callers above which a caller's flows are refused before those of
	// others.
	floodFactor = 3
	// usualStep is the factor by which each flow moves the estimate of the usual rate.
	usualStep = 1.02
	// callerExpiry is how long an address without new flows is kept at least: a few averaging times.
	callerExpiry = 4 * demandTime
)

// caller is what a balancer remembers of one address.
type caller struct {
	// failed is the number of refused or failed flows that no further try has followed yet, the last of them at failedAt.
	failed   int
	failedAt time.Time
	offered  rate
}

// Callers remembers the addresses of callers, to tell further tries from first ones and to see who asks for more than
// others. Addresses that were not heard of for longest are forgotten first.
type Callers struct {
	// recent and older hold disjoint addresses. When recent is full or old, it takes the place of older.
	recent, older map[netip.Addr]*caller
	rotated       time.Time
	// usual estimates the median, over flows, of the rate at which the flow's caller opens flows. Weighing by flows keeps an
	// address with most of the flows from counting as unusual.
	usual float64
}

func NewCallers(now time.Time) *Callers {
	return &Callers{recent: make(map[netip.Addr]*caller), rotated: now}
}

// Offered counts a new flow of an address. It reports whether the flow is a further try.
func (c *Callers) Offered(now time.Time, addr netip.Addr) bool {
	k := c.of(now, addr)
	k.offered.record(now, 1)
	own := k.offered.perSecond(now)
	c.learnUsual(own)
	if k.failed == 0 || now.Sub(k.failedAt) > RetryWindow {
		k.failed = 0
		return false
	}
	k.failed--
	return own*RetryWindow.Seconds() <= maxAttributed
}

func (c *Callers) learnUsual(own float64) {
	switch {
	case c.usual == 0:
		c.usual = own
	case own > c.usual:
		c.usual *= usualStep
	default:
		c.usual /= usualStep
	}
}

// Failed records that a flow of an address was refused or has failed.
func (c *Callers) Failed(now time.Time, addr netip.Addr) {
	k := c.of(now, addr)
	if now.Sub(k.failedAt) > RetryWindow {
		k.failed = 0
	}
	k.failed, k.failedAt = k.failed+1, now
}

// Moderation returns the factor, from 0 to 1, by which the share of a caller's flows is reduced because it asks for more
// than floodFactor times the usual.
func (c *Callers) Moderation(now time.Time, addr netip.Addr) float64 {
	allowed := floodFactor * c.usual
	own := c.of(now, addr).offered.perSecond(now)
	if own <= allowed {
		return 1
	}
	return allowed / own
}

// of returns the state of an address, which then counts as recent.
func (c *Callers) of(now time.Time, addr netip.Addr) *caller {
	k := c.recent[addr]
	if k != nil {
		return k
	}
	k = c.older[addr]
	delete(c.older, addr)
	if k == nil {
		k = &caller{offered: rate{over: demandTime}}
	}
	if len(c.recent) >= maxCallers/2 || now.Sub(c.rotated) > callerExpiry {
		c.recent, c.older, c.rotated = make(map[netip.Addr]*caller), c.recent, now
	}
	c.recent[addr] = k
	return k
}
