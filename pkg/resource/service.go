package resource

import "time"

// Mode says how an agent treats the flows of a service.
type Mode string

// Modes of a service.
const (
	// ModeStream carries opaque bytes.
	ModeStream Mode = "stream"
	// ModeRequest ends HTTP at the agent and applies request limits, deadlines and tickets.
	ModeRequest Mode = "request"
)

// Preference says which measure a service gives up first.
type Preference string

// Preferences of a service.
const (
	// PreferFlows keeps a flow on the first agent of its row unless that agent is clearly above the mean load.
	PreferFlows Preference = "flows"
	// PreferBalance hands every new flow to the least loaded agent of its row.
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

// Share gives one version of a service's targets a part of the new flows.
type Share struct {
	// Version is the version that targets announce.
	Version string `json:"version"`
	// Weight is the part in relation to the sum of all weights; 0 takes no new flow.
	Weight uint32 `json:"weight"`
}

// Limits bounds what one target is given.
type Limits struct {
	// Slots is the number of requests that a target runs at once; 0 takes what the target announces.
	Slots uint32 `json:"slots,omitempty"`
	// Connections is the number of open flows of a target; 0 takes what the target announces.
	Connections uint32 `json:"connections,omitempty"`
	// Queue is the highest number of requests that wait for a slot of one target; 0 takes limit.DefaultQueue.
	Queue uint32 `json:"queue,omitempty"`
	// Deadline is the default deadline of a request; 0 means DefaultDeadline.
	Deadline Duration `json:"deadline,omitempty"`
}

// RolloutStep is one step of a rollout.
type RolloutStep struct {
	// Weight is the share of the new version in percent, 1 to 100.
	Weight uint32 `json:"weight"`
	// Window is the shortest time for which the step is observed.
	Window Duration `json:"window"`
}

// Rollout moves new flows from one version to another in steps.
type Rollout struct {
	// From is the version that serves now.
	From string `json:"from"`
	// To is the version that shall serve.
	To string `json:"to"`
	// Steps are taken in order; the last has weight 100.
	Steps []RolloutStep `json:"steps"`
	// Objective is the part of requests that must succeed, for example 0.999.
	Objective float64 `json:"objective"`
	// MaxBurnRatio is the highest burn rate of the new version in relation to the old one.
	MaxBurnRatio float64 `json:"maxBurnRatio"`
}

// ServiceSpec is what an operator asks for.
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
	// address. Datagrams of a UDP address come without it, since a full one would not fit with it.
	ProxyProtocol bool `json:"proxyProtocol,omitempty"`
	// Limits bounds what one target is given.
	Limits Limits `json:"limits"`
	// DrainTime is the time that a leaving target's flows get to end by themselves; 0 means DefaultDrainTime.
	DrainTime Duration `json:"drainTime,omitempty"`
	// SlowStart is the time over which a new target's weight rises to its full value; 0 switches it off.
	SlowStart Duration `json:"slowStart,omitempty"`
	// UDPIdle ends a UDP flow without packets; 0 means DefaultUDPIdle.
	UDPIdle Duration `json:"udpIdle,omitempty"`
	// Evacuated are the data centres whose targets take no new work, sorted. The system sets it in what it accepts; operators write objects
	// of KindEvacuation.
	Evacuated []string `json:"evacuated,omitempty"`
	// Rollout moves flows to a new version; nil when none is in progress.
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
	// Name identifies the service; it is a DNS label.
	Name string `json:"name"`
	// Spec is what the operator asks for.
	Spec ServiceSpec `json:"spec"`
}
