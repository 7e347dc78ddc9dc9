package flows

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	// Deployment defines services, targets and data centres.
	Deployment Deployment
	// Connections is the connection limit of each target, by service name.
	Connections map[string]uint32
	Balancers   int
	// Fabric carries packets between callers and balancers; the cluster adds its balancers to it.
	Fabric *fabric.Fabric
	// Seed makes random choices repeatable.
	Seed uint64
	// Uneven is the maximum delay before a process receives a change; 0 means nearly immediately.
	Uneven time.Duration
	// Target modifies the configuration of a target stand-in before it starts; may be nil.
	Target func(c *target.Config)
	// Mode is the mode of every service; empty means resource.ModeStream. In request mode the agents listen for each
	// other and store claims in the object API.
	Mode resource.Mode
	// Service modifies a service before it is applied; may be nil.
	Service func(s *resource.Service)
	// RolloutTick is the interval between evaluations of a rollout; 0 means rollout.DefaultTick.
	RolloutTick time.Duration
	// TLS returns the mutual TLS files of a process; nil means plain TCP.
	TLS func(process string) settings.TLS
	// Limits are the limits of every service; the number of connections is taken from Connections.
	Limits resource.Limits
	// Journal records the requests that the target stand-ins run; nil gives each its own.
	Journal *target.Journal
	// Log receives the log of balancers and agents.
	Log zerolog.Logger
}

// Cluster is a running system of balancers, agents and targets, with or without a control plane.
type Cluster interface {
	// Services lists the services with their addresses.
	Services() []resource.Service
	// Targets returns the status of every target started so far, in start order.
	Targets() []TargetStatus
	// Balancers returns the names of the running balancers.
	Balancers() []string
	// JoinTarget starts a target and its agent and returns the target's ID once it accepts flows.
	JoinTarget(ctx context.Context, service string) (string, error)
	// DrainTarget drains a target and returns when its last flow has ended and it has been removed.
	DrainTarget(ctx context.Context, id string) error
	// KillTarget kills the process of a target; its agent keeps running.
	KillTarget(id string) error
	// KillAgent kills a target and its agent without notifying any peer.
	KillAgent(id string) error
	// JoinBalancer starts a balancer and returns its name.
	JoinBalancer(ctx context.Context) (string, error)
	// LeaveBalancer shuts a balancer down gracefully and returns when it has stopped.
	LeaveBalancer(ctx context.Context, name string) error
	// KillBalancer kills a balancer without notifying any peer.
	KillBalancer(name string) error
	// StoreDown starts or ends an outage of the object API.
	StoreDown(down bool)
	// Refusals returns the refusal records written so far.
	Refusals() []refusal.Record
	// Counts returns the packet path totals.
	Counts() PathCounts
	// Close stops all processes.
	Close()
}

// TargetStatus is the status of one target.
type TargetStatus struct {
	ID, Service string
	// State is the state in the cluster's view; 0 after the target has ended.
	State view.TargetState
	// Open is the number of open connections as counted by the target itself.
	Open int
	// Since is when the state was last changed.
	Since time.Time
}

// PathCounts counts the packets that agents delivered and passed on.
type PathCounts struct {
	// Delivered is the number of packets that reached the owner of their flow.
	Delivered int64
	// Passed is the number of times that an agent sent a packet on to another agent.
	Passed int64
}

// Suspecter is a Cluster that can falsely declare a live target dead.
type Suspecter interface {
	// SuspectTarget removes the target from the views for the duration d.
	SuspectTarget(id string, d time.Duration) error
}
