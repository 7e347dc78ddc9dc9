package settings

import "time"

// DSRBalancer holds the settings of auburnwood-dsr-balancer.
type DSRBalancer struct {
	DSRProcess
	// ControlAddress is a TCP address for targets without an agent; the balancer rejects their announcements with an
	// explanation. Empty disables it.
	ControlAddress string `toml:"control_address"`
	// CPUShare is the number of cores that the VM gives the daemon, LinkMbps the rate of its link in Mbit/s. The balancer
	// with the most of both compares the configuration with the object API. Defaults 1 and 1000.
	CPUShare float64 `toml:"cpu_share"`
	LinkMbps float64 `toml:"link_mbps"`
}

// Defaults and bounds of the VM's capacity.
const (
	defaultCPUShare = 1
	defaultLinkMbps = 1000
	maxCPUShare     = 1024
	maxLinkMbps     = 1e6
)

// Bounds of the keys that the daemons of pass-through services share.
const (
	maxPort          = 65535
	defaultGraceTime = 6 * time.Second
	minGraceTime     = time.Second
	maxGraceTime     = 10 * time.Minute
)

// LoadDSRBalancer reads the settings from a TOML file. It returns an *Error that lists every mistake.
func LoadDSRBalancer(path string) (DSRBalancer, error) {
	return load(path, ParseDSRBalancer)
}

// ParseDSRBalancer reads the settings from TOML text. It returns an *Error that lists every mistake.
func ParseDSRBalancer(text []byte) (DSRBalancer, error) {
	return parse(text, DefaultDSRBalancer())
}

// DefaultDSRBalancer returns the default settings; required keys are empty.
func DefaultDSRBalancer() DSRBalancer {
	return DSRBalancer{DSRProcess: defaultDSRProcess(), CPUShare: defaultCPUShare, LinkMbps: defaultLinkMbps}
}

func (b DSRBalancer) check(m *mistakes) {
	b.DSRProcess.check(m)
	m.optionalBind("control_address", b.ControlAddress)
	m.positive("cpu_share", b.CPUShare, maxCPUShare, "cores")
	m.positive("link_mbps", b.LinkMbps, maxLinkMbps, "Mbit/s")
}
