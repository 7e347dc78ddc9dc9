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
	// DefaultDetection is the time after which the fabric detects that a balancer has gone.
	DefaultDetection = time.Second
)

const (
	longFraction       = 0.75
	spareFiles         = 1500
	filesPerFlow       = 2
	targetLoadFraction = 0.6
	shortFlowAllowance = 800
)

// Options configure a run.
type Options struct {
	// Deployment is "zarqa" or "saobien".
	Deployment string
	// Balancers is the number of balancers at the start; 0 means DefaultBalancers.
	Balancers int
	// Flows is the number of flows in the whole run; 0 means DefaultFlows. About three quarters are long and open concurrently.
	Flows int
	// Faults are injected together, after the warm-up.
	Faults []Fault
	// Rounds is the number of joins and drains of targets, one after the other; 0 means DefaultRounds.
	Rounds int
	// Seed makes the faults, their times and the choice of balancer per packet repeatable.
	Seed uint64
	// Window is the time in which faults are injected; 0 means DefaultWindow.
	Window time.Duration
	// Uneven is the maximum delay of a view with the fault uneven-updates; 0 means DefaultUneven.
	Uneven time.Duration
	// Loss and Duplicate are the fabric's probabilities of dropping and duplicating a packet.
	Loss, Duplicate float64
	// LyingTarget makes the first target of each service report a load of 0.
	LyingTarget bool
	// IPv6 gives services and callers IPv6 addresses.
	IPv6 bool
	// UDP makes every flow a UDP flow.
	UDP bool
	// ProxyProtocol makes agents send callers' addresses to targets; each TCP flow checks its own.
	ProxyProtocol bool
	// Trace prints the packets of flows that failed or were slow.
	Trace bool
	// Log receives the log of balancers and agents.
	Log zerolog.Logger
	// NewCluster starts the system under test; nil means NewDirect.
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
		return trace.BadParameter("the PROXY protocol requires TCP")
	}
	return nil
}

// longFlows returns the number of flows that are open concurrently, bounded by the file limit of the process; each needs
// two files, one at the agent and one at the target.
func (o Options) longFlows() int {
	n := int(longFraction * float64(o.Flows))
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return n
	}
	most := (int(limit.Cur)-spareFiles)/filesPerFlow - shortFlowAllowance
	return max(min(n, most), 1)
}
