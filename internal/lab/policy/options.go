package policy

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Options describe one run.
type Options struct {
	Seed uint64
	// Without says which mechanisms are switched off.
	Without policy.Without
	// Length is how long callers send requests.
	Length time.Duration
	// Balancers and Targets are the numbers of VMs; half of the targets are in each of two data centres.
	Balancers int
	Targets   int
	// Slots is what a target works on at once, Queue the requests that it takes beyond.
	Slots int
	Queue int
	// Work is the mean time of a request, spread like a log-normal distribution with Spread.
	Work   time.Duration
	Spread float64
	// Rate is the number of requests a second, as a share of what all targets can work off.
	Load float64
	// Aim is the response time promised to callers, Budget the time after which they give up, Tries the number of flows that they
	// open at most for a request.
	Aim    time.Duration
	Budget time.Duration
	Tries  int
	// RetryPause is the time between the end of a try and the next.
	RetryPause time.Duration
	// Near, Far and Caller are the one-way delays within a data centre, between two, and to callers. Loss is the share of packets
	// that are lost between VMs.
	Near, Far, Caller time.Duration
	Loss              float64
	// ColdTime is how long a target is slow after its start, by the factor ColdFactor.
	ColdTime   time.Duration
	ColdFactor float64
	// ColdPerSecond is the number of new flows that a cold target takes in any second, 0 for no limit. One that gets more than
	// coldMargin allows crashes: it ends, and starts anew after CrashTime.
	ColdPerSecond float64
	CrashTime     time.Duration
	// Undeclared is set when the service does not say so.
	Undeclared bool
	// Announce is the time between two announcements of an agent; 0 means as the daemons pace them by the number of VMs.
	Announce time.Duration
	// Faults are what happens.
	Faults []Fault
}

// Fault is one thing that happens during a run.
type Fault struct {
	Kind FaultKind
	// At is when it begins, counted from the start, For how long it lasts.
	At, For time.Duration
	// Share is the part of the VMs or targets that it hits, Factor how strong it is.
	Share, Factor float64
}

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// PowerLoss: balancers, agents and targets are dark, and have forgotten everything afterwards.
	PowerLoss FaultKind = "power-loss"
	// Restart: targets end, and start anew after For.
	Restart FaultKind = "restart"
	// Burst: callers send Factor times the requests.
	Burst FaultKind = "burst"
	// Slow: targets work Factor times as long.
	Slow FaultKind = "slow"
	// Fails: targets reset the share Factor of their requests.
	Fails FaultKind = "fails"
	// Mute: targets answer nothing to the share Factor of their requests.
	Mute FaultKind = "mute"
	// Wrong: targets answer the share Factor of their requests with a short error at once.
	Wrong FaultKind = "wrong"
	// AgentDies: agents are away while their targets live.
	AgentDies FaultKind = "agent-dies"
)

// Defaults are a small deployment at two thirds of its load.
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
	case o.Loss < 0 || o.Loss >= 1:
		return trace.BadParameter("loss must be from 0 to below 1")
	}
	return nil
}

// rate is the number of requests a second.
func (o Options) rate() float64 {
	return o.Load * float64(o.Targets*o.Slots) / o.Work.Seconds()
}
