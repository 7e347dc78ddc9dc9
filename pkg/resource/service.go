package resource

import "time"

// Mode selects how an agent serves the flows of a service.
type Mode string

// Modes of a service.
const (
	// ModeStream relays opaque bytes.
	ModeStream Mode = "stream"
	// ModeRequest terminates HTTP at the agent, which applies request limits, deadlines and tickets.
	ModeRequest Mode = "request"
)

// Preference selects between flow affinity and an even load.
type Preference string

// Preferences of a service.
const (
	// PreferFlows keeps a flow on the first agent of its row unless that agent is clearly above the mean load.
	PreferFlows Preference = "flows"
	// PreferBalance sends every new flow to the least loaded agent of its row.
	PreferBalance Preference = "balance"
)

// Protocol is the transport protocol of a service address.
type Protocol string

// Transport protocols.
const (
	ProtocolTCP Protocol = "tcp"
	ProtocolUDP Protocol = "udp"
)

// Address is one address at which callers reach a service.
type Address struct {
	// IP is an IPv4 or IPv6 address.
	IP string `json:"ip"`
	// Port is the port, 1 to 65535.
	Port uint16 `json:"port"`
	// Protocol is "tcp" or "udp"; empty means tcp.
	Protocol Protocol `json:"protocol,omitempty"`
}

// Share assigns a share of the new flows to one version of a service's targets.
type Share struct {
	// Version is the version that targets announce.
	Version string `json:"version"`
	// Weight is relative to the sum of all weights; 0 receives no new flow.
	Weight uint32 `json:"weight"`
}

// Limits bounds the load of one target.
type Limits struct {
	// Slots is the number of concurrent requests of a target; 0 uses the announced value.
	Slots uint32 `json:"slots,omitempty"`
	// Connections is the number of open flows of a target; 0 uses the announced value.
	Connections uint32 `json:"connections,omitempty"`
	// Queue is the maximum number of requests queued for a slot of one target; 0 means limit.DefaultQueue.
	Queue uint32 `json:"queue,omitempty"`
	// Deadline is the default deadline of a request; 0 means DefaultDeadline.
	Deadline Duration `json:"deadline,omitempty"`
}

type RolloutStep struct {
	// Weight is the share of the new version in percent, 1 to 100.
	Weight uint32 `json:"weight"`
	// Window is the minimum time for which the step is observed.
	Window Duration `json:"window"`
}

// Rollout shifts new flows from one version to another in steps.
type Rollout struct {
	// From is the old version, which serves now.
	From string `json:"from"`
	// To is the new version.
	To string `json:"to"`
	// Steps are taken in order; the last has weight 100.
	Steps []RolloutStep `json:"steps"`
	// Objective is the fraction of requests that must succeed, for example 0.999.
	Objective float64 `json:"objective"`
	// MaxBurnRatio is the maximum burn rate of the new version relative to the old one.
	MaxBurnRatio float64 `json:"maxBurnRatio"`
}

// ServiceSpec is the desired configuration of a service, set by an operator.
type ServiceSpec struct {
	// Addresses are the addresses at which callers reach the service; each belongs to one service only.
	Addresses []Address `json:"addresses"`
	// Mode is "stream" or "request".
	Mode Mode `json:"mode"`
	// Targets is the service name that targets announce; empty means the service's own name.
	Targets string `json:"targets,omitempty"`
	// Shares divides new flows among versions; empty gives every version the same weight.
	Shares []Share `json:"shares,omitempty"`
	// Preference is "flows" or "balance".
	Preference Preference `json:"preference"`
	// ProxyProtocol sends the caller's address to the target by PROXY protocol version 2, on each connection of a TCP
	// address. UDP datagrams carry no such header, since it would not fit with a full datagram.
	ProxyProtocol bool `json:"proxyProtocol,omitempty"`
	// Limits bounds the load of one target.
	Limits Limits `json:"limits"`
	// DrainTime is how long the flows of a draining target may continue; 0 means DefaultDrainTime.
	DrainTime Duration `json:"drainTime,omitempty"`
	// SlowStart is the time over which a new target's weight rises to its full value; 0 disables it.
	SlowStart Duration `json:"slowStart,omitempty"`
	// UDPIdle is the idle timeout of a UDP flow; 0 means DefaultUDPIdle.
	UDPIdle Duration `json:"udpIdle,omitempty"`
	// Evacuated lists the data centres whose targets take no new work, sorted. The system sets it in the accepted
	// configuration; operators write objects of KindEvacuation instead.
	Evacuated []string `json:"evacuated,omitempty"`
	// Rollout shifts new flows to another version; nil when no rollout is declared.
	Rollout *Rollout `json:"rollout,omitempty"`
}

// Defaults of a service's fields.
const (
	DefaultDeadline  = 10 * time.Second
	DefaultDrainTime = 10 * time.Minute
	DefaultUDPIdle   = 30 * time.Second
)

// Service is the resource by which an operator declares a service.
type Service struct {
	// Name identifies the service. It must be a DNS label.
	Name string      `json:"name"`
	Spec ServiceSpec `json:"spec"`
}
