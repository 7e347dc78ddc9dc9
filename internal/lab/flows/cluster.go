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

// ClusterConfig says what system to start.
type ClusterConfig struct {
	// Deployment gives services, targets and data centres.
	Deployment Deployment
	// Connections is the number of connections that a target of the service takes, by service.
	Connections map[string]uint32
	// Balancers is the number of balancers.
	Balancers int
	// Fabric is the fabric's address for packets to callers; the cluster adds its balancers to it.
	Fabric *fabric.Fabric
	// Seed makes choices repeatable.
	Seed uint64
	// Uneven is the longest delay with which a process learns of a change; 0 means about at once.
	Uneven time.Duration
	// Target changes the settings of a target stand-in before it starts; may be nil.
	Target func(c *target.Config)
	// Mode is the mode of every service; empty means resource.ModeStream. In request mode the agents listen for each
	// other, and keep claims in the object API.
	Mode resource.Mode
	// Service changes a service before it is applied; may be nil.
	Service func(s *resource.Service)
	// RolloutTick is the time between two judgements of a rollout; 0 means rollout.DefaultTick.
	RolloutTick time.Duration
	// TLS returns the files for mutual TLS of a process; nil means plain TCP.
	TLS func(process string) settings.TLS
	// Limits are the limits of every service; the number of connections is taken from Connections.
	Limits resource.Limits
	// Journal takes what the target stand-ins run; nil gives each its own.
	Journal *target.Journal
	// Log takes the log lines of balancers and agents.
	Log zerolog.Logger
}

// Cluster is a running system: balancers, agents and targets, with or without their control plane.
type Cluster interface {
	// Services lists the services with their addresses.
	Services() []resource.Service
	// Targets describes the targets that were ever started, in the order of their start.
	Targets() []TargetStatus
	// Balancers names the balancers that live.
	Balancers() []string
	// JoinTarget starts a target and its agent and returns the target's ID once it takes flows.
	JoinTarget(ctx context.Context, service string) (string, error)
	// DrainTarget lets a target leave and returns when its last flow has ended and it is gone.
	DrainTarget(ctx context.Context, id string) error
	// KillTarget ends the process of a target; its agent lives on.
	KillTarget(id string) error
	// KillAgent ends a target and its agent without a word.
	KillAgent(id string) error
	// JoinBalancer starts a balancer and returns its name.
	JoinBalancer(ctx context.Context) (string, error)
	// LeaveBalancer lets a balancer leave and returns when it is gone.
	LeaveBalancer(ctx context.Context, name string) error
	// KillBalancer ends a balancer without a word.
	KillBalancer(name string) error
	// StoreDown switches an outage of the object API on or off.
	StoreDown(down bool)
	// Refusals returns the refusal records so far.
	Refusals() []refusal.Record
	// Counts returns totals of the packet path.
	Counts() PathCounts
	// Close ends everything.
	Close()
}

// TargetStatus describes one target.
type TargetStatus struct {
	// ID and Service name the target.
	ID, Service string
	// State is the state that the cluster gave it; 0 after its end.
	State view.TargetState
	// Open is the true number of open connections.
	Open int
	// Since is when the state was last changed.
	Since time.Time
}

// PathCounts are totals of the packet path.
type PathCounts struct {
	// Delivered is the number of packets that reached the owner of their flow.
	Delivered int64
	// Passed is the number of times that an agent passed a packet to another agent.
	Passed int64
}

// Suspecter is a Cluster that can take a target that lives for dead.
type Suspecter interface {
	// SuspectTarget drops the target from the views for a time.
	SuspectTarget(id string, d time.Duration) error
}
