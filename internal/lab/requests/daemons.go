package requests

import (
	"context"
	"net/netip"
	"time"
)

// Daemons is an installation of real daemons for a run: balancers, and an agent beside each target of the run.
type Daemons interface {
	Dialer
	// StartAgent starts an agent beside the target at the address, and announces the target to it.
	StartAgent(service, name string, slots int, target netip.AddrPort) (Daemon, error)
	// AwaitActive waits until every process knows that many active targets.
	AwaitActive(ctx context.Context, targets int) error
	// StoreFaults sets what the object API does: an outage, and losing answers of writes.
	StoreFaults(down, loses bool)
	// Close ends everything.
	Close()
}

// Daemon is one agent process.
type Daemon interface {
	// Drain announces that the target leaves, and returns when the agent has ended.
	Drain(ctx context.Context) error
	// Kill ends the process without a word.
	Kill()
}

// NewDaemons starts the balancers of a deployment for a run with the deadline.
type NewDaemons func(ctx context.Context, deployment string, deadline time.Duration, seed uint64) (Daemons, error)
