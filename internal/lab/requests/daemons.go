package requests

import (
	"context"
	"net/netip"
	"time"
)

// Daemons is an installation of real daemons for a run: balancers, and an agent for each target.
type Daemons interface {
	Dialer
	// StartAgent starts an agent for the target at the address and announces the target to it.
	StartAgent(service, name string, slots int, target netip.AddrPort) (Daemon, error)
	// AwaitActive waits until every process has that many active targets in its view.
	AwaitActive(ctx context.Context, targets int) error
	// StoreFaults sets the faults of the object API: an outage, and the loss of responses to writes.
	StoreFaults(down, loses bool)
	// Close stops all daemons.
	Close()
}

// Daemon is one agent process.
type Daemon interface {
	// Drain requests the drain of the target and returns when the agent has exited.
	Drain(ctx context.Context) error
	// Kill ends the process without a shutdown.
	Kill()
}

// NewDaemons starts the balancers of a deployment for a run with the given request deadline.
type NewDaemons func(ctx context.Context, deployment string, deadline time.Duration, seed uint64) (Daemons, error)
