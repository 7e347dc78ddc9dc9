package settings

import "time"

// DSRAgent holds the settings of auburnwood-dsr-agent.
type DSRAgent struct {
	DSRProcess
	// Service is the service of the target on the same VM. Required.
	Service string `toml:"service"`
	// TargetAddress is the UDP address at which the target receives packets. Required.
	TargetAddress string `toml:"target_address"`
	// OutboundAddress is the UDP address to which the target sends its packets. Required.
	OutboundAddress string `toml:"outbound_address"`
	// AnnounceAddress is the TCP address at which the target announces itself. Required.
	AnnounceAddress string `toml:"announce_address"`
	// HeartbeatInterval is the time between two announcements of the target. Default 1s.
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
}

const defaultHeartbeatInterval = time.Second

// LoadDSRAgent reads the settings from a TOML file. It returns an *Error that lists every mistake.
func LoadDSRAgent(path string) (DSRAgent, error) {
	return load(path, ParseDSRAgent)
}

// ParseDSRAgent reads the settings from TOML text. It returns an *Error that lists every mistake.
func ParseDSRAgent(text []byte) (DSRAgent, error) {
	return parse(text, DefaultDSRAgent())
}

// DefaultDSRAgent returns the default settings; required keys are empty.
func DefaultDSRAgent() DSRAgent {
	return DSRAgent{DSRProcess: defaultDSRProcess(), HeartbeatInterval: NewDuration(defaultHeartbeatInterval)}
}

func (a DSRAgent) check(m *mistakes) {
	a.DSRProcess.check(m)
	m.required("service", a.Service)
	m.peer("target_address", a.TargetAddress)
	m.bind("outbound_address", a.OutboundAddress)
	m.bind("announce_address", a.AnnounceAddress)
	m.duration("heartbeat_interval", a.HeartbeatInterval, minTimeout, maxTimeout)
}
