package balancer

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of a Config's fields.
const (
	DefaultWorkers      = 4
	DefaultCachedFlows  = 1 << 19
	DefaultCacheTime    = 5 * time.Minute
	DefaultRefusalRate  = 200
	DefaultDrainTime    = 10 * time.Second
	DefaultQuietTime    = 500 * time.Millisecond
	DefaultStartTime    = 4 * time.Second
	DefaultSocketBuffer = 8 << 20
	maxWorkers          = 256
	maxPacketSize       = 64 << 10
	datagramOverhead    = 2 << 10
	batchSize           = 32
	refusalReportPeriod = time.Second
	openingRepeatWindow = 10 * time.Second
)

// Config holds the settings of a balancer.
type Config struct {
	// Name identifies the balancer in logs and refusal records.
	Name string
	// Listen is the address of the packet socket; port 0 selects a free port.
	Listen netip.AddrPort
	// Fabric is the address that packets to callers are sent to.
	Fabric netip.AddrPort
	// Workers is the number of goroutines that decide on packets; 0 means DefaultWorkers.
	Workers int
	// CachedFlows bounds the learned-owner cache; 0 means DefaultCachedFlows.
	CachedFlows int
	// CacheTime is how long a learned owner is used; 0 means DefaultCacheTime.
	CacheTime time.Duration
	// RefusalRate is the highest number of refusals answered per second; 0 means DefaultRefusalRate.
	RefusalRate int
	// DrainTime bounds how long Run forwards packets after its context has ended; 0 means DefaultDrainTime.
	DrainTime time.Duration
	// StartTime is how long after its start a balancer without configuration or targets drops opening packets instead of
	// refusing them; 0 means DefaultStartTime.
	StartTime time.Duration
	// QuietTime is the time without any packet after which the drain ends early; 0 means DefaultQuietTime.
	QuietTime time.Duration
}

func (c Config) withDefaults() Config {
	c.Workers = cmp.Or(c.Workers, DefaultWorkers)
	c.CachedFlows = cmp.Or(c.CachedFlows, DefaultCachedFlows)
	c.CacheTime = cmp.Or(c.CacheTime, DefaultCacheTime)
	c.RefusalRate = cmp.Or(c.RefusalRate, DefaultRefusalRate)
	c.DrainTime = cmp.Or(c.DrainTime, DefaultDrainTime)
	c.StartTime = cmp.Or(c.StartTime, DefaultStartTime)
	c.QuietTime = cmp.Or(c.QuietTime, DefaultQuietTime)
	return c
}

func (c Config) check() error {
	var errs []error
	if c.Name == "" {
		errs = append(errs, trace.BadParameter("name is empty"))
	}
	if !c.Listen.IsValid() {
		errs = append(errs, trace.BadParameter("listen is not an address and port"))
	}
	if !c.Fabric.IsValid() || c.Fabric.Port() == 0 {
		errs = append(errs, trace.BadParameter("fabric is not an address and port: got %s", c.Fabric))
	}
	if c.Workers < 0 || c.Workers > maxWorkers {
		errs = append(errs, trace.BadParameter("workers %d is not in 0 to %d", c.Workers, maxWorkers))
	}
	if c.CachedFlows < 0 || c.RefusalRate < 0 || c.CacheTime < 0 || c.DrainTime < 0 || c.QuietTime < 0 || c.StartTime < 0 {
		errs = append(errs, trace.BadParameter(
			"a size or time is negative: cached flows %d, refusal rate %d, cache time %s, drain time %s, quiet time %s, start time %s",
			c.CachedFlows, c.RefusalRate, c.CacheTime, c.DrainTime, c.QuietTime, c.StartTime))
	}
	return trace.NewAggregate(errs...)
}
