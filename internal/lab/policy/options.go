package policy

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Options configure one run.
type Options struct {
	Seed uint64
	// Without selects the mechanisms that are switched off.
	Without policy.Without
	// Length is how long callers send requests.
	Length time.Duration
	// Balancers and Targets are the numbers of VMs; those of either kind alternate between two data centres.
	Balancers int
	Targets   int
	// Slots is the number of requests that a target processes concurrently, Queue the number that it queues beyond
	// these.
	Slots int
	Queue int
	// Work is the mean service time of a request, log-normally distributed with coefficient of variation Spread.
	Work   time.Duration
	Spread float64
	// Load is the request rate as a share of the capacity of all targets.
	Load float64
	// Aim is the response time promised to callers, Budget the timeout of a request, Tries the maximum number of flows
	// that a caller opens for it.
	Aim    time.Duration
	Budget time.Duration
	Tries  int
	// RetryPause is the time between the end of a try and the next one.
	RetryPause time.Duration
	// Near, Far and Caller are the one-way delays within a data centre, between the two, and to callers.
	// Loss is the packet loss ratio between VMs and on the path to and from callers.
	Near, Far, Caller time.Duration
	Loss              float64
	// ColdTime is the warm-up time of a target, during which requests take ColdFactor times as long.
	ColdTime   time.Duration
	ColdFactor float64
	// ColdPerSecond is the declared number of new flows a second that a cold target accepts, 0 for no limit. A target
	// that gets more than coldCrashThreshold in a second crashes and restarts after CrashTime.
	ColdPerSecond float64
	CrashTime     time.Duration
	// Undeclared omits the warm-up time and ColdPerSecond from the service configuration.
	Undeclared bool
	// DataCentres is the number of data centres that the VMs alternate between; 0 means two.
	DataCentres int
	// Urgent is the share of requests of a route with the highest priority; the others have the next one. With 0 there is
	// one route.
	Urgent float64
	// Callers is the number of callers, each at an address in one data centre, whose packets reach the balancers there.
	// With 0, callers share addresses and reach all balancers. Flood is the share of the first caller in all requests; 0
	// means the same as the others.
	Callers int
	Flood   float64
	// Announce is the interval between two announcements of an agent; 0 means the interval that the daemons derive from
	// the number of VMs.
	Announce time.Duration
	Faults   []Fault
}

// Fault is one fault injected during a run.
type Fault struct {
	Kind FaultKind
	// At is when it begins, relative to the start of the run; For is its duration.
	At, For time.Duration
	// Share is the share of targets or agents affected; Factor depends on Kind.
	Share, Factor float64
}

type FaultKind string

// Kinds of faults.
const (
	// PowerLoss stops all balancers, agents and targets, which lose their state.
	PowerLoss FaultKind = "power-loss"
	// Restart stops targets and starts them again after For.
	Restart FaultKind = "restart"
	// Burst multiplies the request rate by Factor.
	Burst FaultKind = "burst"
	// Slow multiplies the service time of targets by Factor.
	Slow FaultKind = "slow"
	// Fails lets targets reset the share Factor of their requests.
	Fails FaultKind = "fails"
	// Mute lets targets leave the share Factor of their requests unanswered.
	Mute FaultKind = "mute"
	// Wrong lets targets answer the share Factor of their requests immediately with a short error.
	Wrong FaultKind = "wrong"
	// AgentDies stops agents while their targets keep running.
	AgentDies FaultKind = "agent-dies"
)

// Defaults returns a small deployment at about two thirds of its capacity.
func Defaults() Options {
	return Options{
		Length: 8 * time.Second, Balancers: 5, Targets: 12, Slots: 2, Queue: 8,
		Work: 25 * time.Millisecond, Spread: 0.5, Load: 0.68, Aim: 120 * time.Millisecond, Budget: 1200 * time.Millisecond, Tries: 3,
		RetryPause: 5 * time.Millisecond, Near: 200 * time.Microsecond, Far: 700 * time.Microsecond, Caller: 3 * time.Millisecond,
		ColdTime: 2 * time.Second, ColdFactor: 1.6,
	}
}

// Limits of Options.
const (
	maxVMs   = 200
	maxTries = 10
)

func (o Options) check() error {
	switch {
	case o.Balancers < 1 || o.Targets < 1 || o.Balancers+o.Targets > maxVMs:
		return trace.BadParameter("balancers and targets must be 1 or more, and %d together at most", maxVMs)
	case o.Slots < 1 || o.Queue < 0 || o.Work <= 0 || o.Load <= 0:
		return trace.BadParameter("slots, work and load must be positive")
	case o.Tries < 1 || o.Tries > maxTries || o.Budget <= 0 || o.Length <= 0:
		return trace.BadParameter("tries must be from 1 to %d, budget and length positive", maxTries)
	case o.Urgent < 0 || o.Urgent > 1 || o.Flood < 0 || o.Flood > 1 || o.Callers < 0 || o.DataCentres < 0:
		return trace.BadParameter("urgent and flood must be from 0 to 1, callers and data centres not negative")
	case o.Loss < 0 || o.Loss >= 1:
		return trace.BadParameter("loss must be from 0 to below 1")
	}
	return nil
}

// rate returns the number of requests per second without a burst.
func (o Options) rate() float64 {
	return o.Load * float64(o.Targets*o.Slots) / o.Work.Seconds()
}
