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
	// Listen is the address for packets to callers; the zero value takes a free port of 127.0.0.1.
	Listen netip.AddrPort
	// Seed makes the spraying and the faults repeatable.
	Seed uint64
	// Stacks is the number of TCP stacks that the callers share; 0 means DefaultStacks.
	Stacks int
	// Loss and Duplicate are the probabilities, 0 to 1, that a packet to a balancer is lost or sent twice.
	Loss, Duplicate float64
	// Delay is the longest time that a packet to a balancer may be held back; each packet draws its own, so order is
	// not kept.
	Delay time.Duration
	// Detection is the time in which the fabric learns that a balancer has gone.
	Detection time.Duration
	// JoinLag is the time in which the fabric learns of a new balancer.
	JoinLag time.Duration
	// Tap sees every packet of callers, with the balancer that gets it, and every packet to callers, with its sender. It
	// may be nil, must not keep the slice and is called by several goroutines.
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
		return c, trace.BadParameter("fabric: loss %v or duplicate %v is no probability", c.Loss, c.Duplicate)
	}
	return c, nil
}

func isProbability(p float64) bool { return p >= 0 && p <= 1 }
