package dsrd

import (
	"net/netip"
	"time"
)

// Cost of reading a large configuration of 1,300 routes from the object API.
const (
	// readCPU is the processor time for receiving and decoding it, readBits its size.
	readCPU  = 5 * time.Millisecond
	readBits = 300e3 * 8
)

// readsPerSecond is how many large configurations a VM could read in a second, its read capacity. On a VM of 0.06
// cores and a link of 10 Mbit/s one read delays packets by 0.3 s.
func readsPerSecond(cpuShare, linkMbps float64) uint32 {
	seconds := readCPU.Seconds()/cpuShare + readBits/(linkMbps*1e6)
	return uint32(max(1, 1/seconds))
}

// checkersBefore is the number of living balancers that compare the configuration with the object API before this one
// does: those with a higher read capacity, and of equals those with a lower address.
func (b *Balancer) checkersBefore() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.ownReadCapacity()
	n := 0
	for _, a := range b.balancers.Living(time.Now()) {
		if checksBefore(b.readCapacity[a], a, own, b.self) {
			n++
		}
	}
	return n
}

// ownReadCapacity is how many large configurations this balancer could read in a second.
func (b *Balancer) ownReadCapacity() uint32 { return readsPerSecond(b.cfg.CPUShare, b.cfg.LinkMbps) }

// checksBefore reports whether a balancer comes before another one in the order of those that check.
func checksBefore(reads uint32, a netip.AddrPort, otherReads uint32, other netip.AddrPort) bool {
	if reads != otherReads {
		return reads > otherReads
	}
	return a.Compare(other) < 0
}

// propagation is how long the result of a check takes to reach this balancer: nothing where whoever checks notifies
// all others.
func (b *Balancer) propagation() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balancers.Len() <= fanOut {
		return 0
	}
	return propagationTime
}
