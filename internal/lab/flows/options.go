package flows

import (
	"cmp"
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Defaults of Options' fields.
const (
	DefaultBalancers = 3
	DefaultFlows     = 1000
	DefaultWindow    = 15 * time.Second
	DefaultUneven    = 3 * time.Second
	DefaultRounds    = 1
	// DefaultDetection is the time in which the fabric learns that a balancer has gone.
	DefaultDetection = time.Second
)

const (
	longPart       = 0.75
	spareFiles     = 1500
	filesOfFlow    = 2
	targetLoadPart = 0.6
	shortAtOnce    = 800
)

// Options say what to run.
type Options struct {
	// Deployment is "zarqa" or "saobien".
	Deployment string
	// Balancers is the number of balancers at the start; 0 means DefaultBalancers.
	Balancers int
	// Flows is the number of flows in the whole run; 0 means DefaultFlows. About three of four are long and open at once.
	Flows int
	// Faults happen together, after the warm-up.
	Faults []Fault
	// Rounds repeats the joins and drains of targets, one after the other; 0 means DefaultRounds.
	Rounds int
	// Seed makes the choice of faults, their times and the spraying repeatable.
	Seed uint64
	// Window is the time of the faults; 0 means DefaultWindow.
	Window time.Duration
	// Uneven is the longest delay of a view with the fault uneven-updates; 0 means DefaultUneven.
	Uneven time.Duration
	// Loss and Duplicate are the fabric's probabilities of losing and repeating a packet.
	Loss, Duplicate float64
	// LyingTarget lets the first target of each service report a load of 0.
	LyingTarget bool
	// IPv6 gives services and callers IPv6 addresses.
	IPv6 bool
	// UDP makes every flow a UDP flow.
	UDP bool
	// ProxyProtocol lets agents tell targets the callers' addresses; each TCP flow checks its own.
	ProxyProtocol bool
	// Trace prints the packets of flows that broke or were slow.
	Trace bool
	// Log takes the log lines of balancers and agents.
	Log zerolog.Logger
	// NewCluster makes the system under test; nil drives balancers and agents without a control plane.
	NewCluster func(ctx context.Context, cfg ClusterConfig) (Cluster, error)
}

func (o Options) withDefaults() Options {
	o.Balancers = cmp.Or(o.Balancers, DefaultBalancers)
	o.Flows = cmp.Or(o.Flows, DefaultFlows)
	o.Rounds = cmp.Or(o.Rounds, DefaultRounds)
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.Uneven = cmp.Or(o.Uneven, DefaultUneven)
	if o.NewCluster == nil {
		o.NewCluster = NewDirect
	}
	return o
}

func (o Options) check() error {
	if o.Balancers < 0 || o.Flows < 0 || o.Rounds < 0 || o.Window < 0 || o.Uneven < 0 {
		return trace.BadParameter("balancers, flows, rounds, window and uneven must not be negative")
	}
	if o.UDP && o.ProxyProtocol {
		return trace.BadParameter("the PROXY protocol is for TCP only")
	}
	return nil
}

// longFlows is the number of flows that are open together; each needs two files, one at the agent and one at the target.
func (o Options) longFlows() int {
	n := int(longPart * float64(o.Flows))
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return n
	}
	most := (int(limit.Cur)-spareFiles)/filesOfFlow - shortAtOnce
	return max(min(n, most), 1)
}
