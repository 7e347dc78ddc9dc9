package view

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// TargetState is the state of a target within a view.
type TargetState uint8

// States of a target.
const (
	// StateJoining means that flows are announced to the target's agent but no packet is routed to it yet.
	StateJoining TargetState = iota + 1
	// StateActive takes new flows.
	StateActive
	// StateDraining keeps its flows and its place in the rows but takes no new flow.
	StateDraining
)

// String returns the state's name.
func (s TargetState) String() string {
	switch s {
	case StateJoining:
		return "joining"
	case StateActive:
		return "active"
	case StateDraining:
		return "draining"
	}
	return "unknown"
}

// Target is one target of a service with its agent.
type Target struct {
	// ID identifies the target; it stays the same when its VM is replaced by one of the same name.
	ID string
	// Incarnation rises each time the target's agent starts.
	Incarnation uint64
	// Agent is the address of the agent's packet socket (UDP).
	Agent netip.AddrPort
	// Control is the host:port at which the agent accepts requests of other agents; empty when it accepts none.
	Control string
	// Weight is the target's share of new flows relative to the other targets; a target of weight 0 gets none.
	Weight uint32
	State  TargetState
	// Version is the version that the target announces.
	Version    string
	DataCentre string
	// Slots is the number of requests that the target runs at once.
	Slots uint32
	// Connections is the highest number of open flows.
	Connections uint32
	// ActiveSince is when the target became active; slow start counts from it.
	ActiveSince time.Time
}

// Service is one service with its targets.
type Service struct {
	// Name is the service's name.
	Name string
	// Revision is the number of the configuration revision.
	Revision uint64
	// Spec is the accepted specification.
	Spec resource.ServiceSpec
	// Targets are sorted by ID.
	Targets []Target
}

// View is a snapshot of all services.
type View struct {
	// Revision is the number of the configuration revision; 0 means that none is known.
	Revision uint64
	// Services are sorted by name.
	Services []*Service
}
