package fabric

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// DefaultStacks is the number of TCP stacks that the callers share.
const DefaultStacks = 4

// Config holds the fabric's settings.
type Config struct {
	// Listen is the address for packets to callers; the zero value means a free port of 127.0.0.1.
	Listen netip.AddrPort
	// Seed makes the choice of balancers and the faults reproducible.
	Seed uint64
	// Stacks is the number of TCP stacks that the callers share; 0 means DefaultStacks.
	Stacks int
	// Loss and Duplicate are the probabilities, 0 to 1, that a packet to a balancer is lost or sent twice.
	Loss, Duplicate float64
	// Delay is the maximum delay of a packet to a balancer; each packet draws its own, so that packets may be reordered.
	Delay time.Duration
	// Detection is the time from the removal of a balancer until the fabric stops sending to it.
	Detection time.Duration
	// JoinLag is the time from the addition of a balancer until the fabric sends to it.
	JoinLag time.Duration
	// Tap is called with every packet from callers and the balancer that receives it, and with every packet to callers
	// and its sender. It may be nil, must not retain the slice and is called by several goroutines.
	Tap func(peer netip.AddrPort, toCaller bool, packet []byte)
}

func (c Config) withDefaults() (Config, error) {
	if !c.Listen.IsValid() {
		c.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if c.Stacks == 0 {
		c.Stacks = DefaultStacks
	}
	if c.Stacks < 0 {
		return c, trace.BadParameter("fabric: %d stacks", c.Stacks)
	}
	if !isProbability(c.Loss) || !isProbability(c.Duplicate) {
		return c, trace.BadParameter("fabric: loss %v or duplicate %v is not between 0 and 1", c.Loss, c.Duplicate)
	}
	return c, nil
}

func isProbability(p float64) bool { return p >= 0 && p <= 1 }
