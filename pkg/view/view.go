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

// Target is one target of a service and the agent beside it.
type Target struct {
	// ID names the target; it stays the same when its VM is replaced by one of the same name.
	ID string
	// Incarnation rises each time the target's agent starts.
	Incarnation uint64
	// Agent is the address of the agent's packet socket (UDP).
	Agent netip.AddrPort
	// Control is the host:port at which the agent takes requests of other agents; empty when it takes none.
	Control string
	// Weight is the target's part of new flows in relation to the other targets; 0 takes none.
	Weight uint32
	// State is the target's state.
	State TargetState
	// Version is the version that the target announces.
	Version string
	// DataCentre is the data centre of the target's VM.
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
