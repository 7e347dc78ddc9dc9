package target

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// Config holds a target's settings.
type Config struct {
	// Service is the name of the service that the target actually serves.
	Service string
	ID      string
	// Version is the version of the target's software.
	Version string
	// Listen is the address; the zero value means a free port of 127.0.0.1.
	Listen netip.AddrPort
	// Slots is the number of work requests that run at once; further ones are shed. 0 means no limit.
	Slots int
	// Connections is the maximum number of open connections; further ones are reset. 0 means no limit.
	Connections int
	// ColdStart is the time after the start during which work takes ColdFactor times as long.
	ColdStart time.Duration
	// ColdFactor is at least 1; 0 means 1.
	ColdFactor float64
	// FalseLoad, when not nil, maps the actual number of open connections to the reported one.
	FalseLoad func(open int) int
	// FailWork is the probability, 0 to 1, that a work request fails with status 500 after it ran.
	FailWork float64
	// ProxyProtocol expects a PROXY protocol header on each connection.
	ProxyProtocol bool
	// Seed makes random failures reproducible.
	Seed uint64
}

func (c Config) withDefaults() (Config, error) {
	if c.Service == "" || c.ID == "" {
		return c, trace.BadParameter("target: service %q or ID %q is empty", c.Service, c.ID)
	}
	if !c.Listen.IsValid() {
		c.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 1
	}
	if c.ColdFactor < 1 || c.FailWork < 0 || c.FailWork > 1 || c.Slots < 0 || c.Connections < 0 {
		return c, trace.BadParameter("target %s: a setting is out of range", c.ID)
	}
	return c, nil
}
