package settings

import "time"

// Agent holds the settings of auburnwood-agent.
type Agent struct {
	Process
	// PacketAddress is the UDP address for packets from balancers and other agents. Required.
	PacketAddress string `toml:"packet_address"`
	// ControlAddress is the TCP address at which the agent receives requests forwarded by other agents; empty disables it.
	ControlAddress string `toml:"control_address"`
	// FabricAddress is the UDP address to which packets for callers are sent. Required.
	FabricAddress string `toml:"fabric_address"`
	// TargetAddress is the address at which the target listens. Required.
	TargetAddress string `toml:"target_address"`
	// AnnounceAddress is the HTTP listener address at which the target announces itself and starts a drain. Required.
	AnnounceAddress string `toml:"announce_address"`
	// Balancers are the control addresses of the balancers to contact first; others are discovered. At least one.
	Balancers []string `toml:"balancers"`
	// DrainTime overrides the service's drain time on this VM; 0 uses the service's. Default 0s.
	DrainTime Duration `toml:"drain_time"`
	// MTU is the maximum size in bytes of an IP packet to a caller. Default 1400, which leaves room for encapsulation
	// in a UDP datagram on a 1500-byte Ethernet MTU.
	MTU int `toml:"mtu"`
	// Workers is the number of goroutines that handle packets; 0 means one per CPU. Default 0.
	Workers int `toml:"workers"`
	// TargetDialTimeout is the timeout for connecting to the target. Default 2s.
	TargetDialTimeout Duration `toml:"target_dial_timeout"`
	// Log, TLS and Control are the common sections.
	Log     Log     `toml:"log"`
	TLS     TLS     `toml:"tls"`
	Control Control `toml:"control"`
	// ObjectAPI is used only to claim idempotency keys; without a url, requests that need a claim are refused.
	ObjectAPI ObjectAPI `toml:"object_api"`
}

// Bounds of the agent's keys.
const (
	// minMTU is the smallest MTU of an IPv6 link (RFC 8200, section 5).
	minMTU       = 1280
	maxMTU       = 9000
	maxDrainTime = 24 * time.Hour
)

// DefaultAgent returns the agent's default settings.
func DefaultAgent() Agent {
	return Agent{
		MTU:               1400,
		TargetDialTimeout: NewDuration(2 * time.Second),
		Log:               DefaultLog(),
		Control:           DefaultControl(),
		ObjectAPI:         DefaultObjectAPI(),
	}
}

// LoadAgent reads the settings of an agent from a TOML file. It returns an *Error that lists every mistake.
func LoadAgent(path string) (Agent, error) {
	return load(path, ParseAgent)
}

// ParseAgent reads the settings of an agent from TOML text. It returns an *Error that lists every mistake.
func ParseAgent(text []byte) (Agent, error) {
	return parse(text, DefaultAgent())
}

func (a Agent) check(m *mistakes) {
	a.Process.check(m)
	m.bind("packet_address", a.PacketAddress)
	m.optionalBind("control_address", a.ControlAddress)
	m.peer("fabric_address", a.FabricAddress)
	m.peer("target_address", a.TargetAddress)
	m.bind("announce_address", a.AnnounceAddress)
	if len(a.Balancers) == 0 {
		m.add("balancers", "at least one control address of a balancer is required")
	}
	m.peers("balancers", a.Balancers)
	m.duration("drain_time", a.DrainTime, 0, maxDrainTime)
	m.within("mtu", a.MTU, minMTU, maxMTU)
	m.within("workers", a.Workers, 0, maxWorkers)
	m.duration("target_dial_timeout", a.TargetDialTimeout, minTimeout, maxTimeout)
	a.Log.check(m)
	a.TLS.check(m)
	a.Control.check(m)
	if a.ObjectAPI.URL != "" {
		a.ObjectAPI.check(m)
	}
}
