package settings

import (
	"fmt"
	"time"
)

// Balancer holds the settings of auburnwood-balancer.
type Balancer struct {
	Process
	// PacketAddress is the UDP address for packets from the fabric and from agents. Required.
	PacketAddress string `toml:"packet_address"`
	// ControlAddress is the TCP address of the gRPC listener for peers and agents. Required.
	ControlAddress string `toml:"control_address"`
	// FabricAddress is the UDP address to which packets for callers, such as resets, are sent. Required.
	FabricAddress string `toml:"fabric_address"`
	// Peers are the control addresses of the balancers to contact first; others are discovered. May be empty.
	Peers []string `toml:"peers"`
	// Workers is the number of goroutines that handle packets; 0 means one per CPU. Default 0.
	Workers int `toml:"workers"`
	// CachedFlows is the maximum number of flows whose owner is cached. Default 1000000.
	CachedFlows int `toml:"cached_flows"`
	// LeaseTime is the time after which the lease of a duty expires unless it is renewed. Default 3s.
	LeaseTime Duration `toml:"lease_time"`
	// Log, TLS, ObjectAPI and Control are the sections of the file.
	Log       Log             `toml:"log"`
	TLS       TLS             `toml:"tls"`
	ObjectAPI ObjectAPI       `toml:"object_api"`
	Control   BalancerControl `toml:"control"`
}

// Bounds of the balancer's keys.
const (
	maxWorkers     = 1024
	minCachedFlows = 1024
	maxCachedFlows = 100_000_000
	minLeaseTime   = 500 * time.Millisecond
	maxLeaseTime   = time.Minute
)

// DefaultBalancer returns the balancer's default settings.
func DefaultBalancer() Balancer {
	return Balancer{
		CachedFlows: 1_000_000,
		LeaseTime:   NewDuration(3 * time.Second),
		Log:         DefaultLog(),
		ObjectAPI:   DefaultObjectAPI(),
		Control:     DefaultBalancerControl(),
	}
}

// LoadBalancer reads the settings of a balancer from a TOML file. It returns an *Error that lists every mistake.
func LoadBalancer(path string) (Balancer, error) {
	return load(path, ParseBalancer)
}

// ParseBalancer reads the settings of a balancer from TOML text. It returns an *Error that lists every mistake.
func ParseBalancer(text []byte) (Balancer, error) {
	return parse(text, DefaultBalancer())
}

func (b Balancer) check(m *mistakes) {
	b.Process.check(m)
	m.bind("packet_address", b.PacketAddress)
	m.bind("control_address", b.ControlAddress)
	m.peer("fabric_address", b.FabricAddress)
	m.peers("peers", b.Peers)
	m.within("workers", b.Workers, 0, maxWorkers)
	m.within("cached_flows", b.CachedFlows, minCachedFlows, maxCachedFlows)
	m.duration("lease_time", b.LeaseTime, minLeaseTime, maxLeaseTime)
	b.Log.check(m)
	b.TLS.check(m)
	b.ObjectAPI.check(m)
	b.Control.check(m)
}

// peers checks a list of peer addresses and rejects duplicates.
func (m *mistakes) peers(key string, list []string) {
	seen := make(map[string]bool, len(list))
	for i, p := range list {
		k := fmt.Sprintf("%s[%d]", key, i)
		m.peer(k, p)
		if seen[p] {
			m.add(k, "%q is listed twice", p)
		}
		seen[p] = true
	}
}
