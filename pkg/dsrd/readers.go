package dsrd

import (
	"net/netip"
	"time"
)

// Cost of reading a large configuration from the object API, 1,300 routes, measured on a core of its own.
const (
	// readCPU is the processor time for its bytes and its document, readBits its size.
	readCPU  = 5 * time.Millisecond
	readBits = 300e3 * 8
)

// readsPerSecond is how many large configurations a VM could read in a second. On a VM of 0.06 cores and a link of 10 Mbit/s one
// reading keeps packets waiting for 0.3 s.
func readsPerSecond(cpuShare, linkMbps float64) uint32 {
	seconds := readCPU.Seconds()/cpuShare + readBits/(linkMbps*1e6)
	return uint32(max(1, 1/seconds))
}

// readersBefore is the number of living balancers that compare the configuration with the object API before this one does: those
// that can read more, and of equals those with a lower address.
func (b *Balancer) readersBefore() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := readsPerSecond(b.cfg.CPUShare, b.cfg.LinkMbps)
	n := 0
	for _, a := range b.balancers.Living(time.Now()) {
		if readsBefore(b.readers[a], a, own, b.self) {
			n++
		}
	}
	return n
}

func readsBefore(reads uint32, a netip.AddrPort, otherReads uint32, other netip.AddrPort) bool {
	if reads != otherReads {
		return reads > otherReads
	}
	return a.Compare(other) < 0
}
