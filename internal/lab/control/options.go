package control

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Options are the options of a run.
type Options struct {
	// Balancers and Targets are the numbers at the start.
	Balancers int
	Targets   int
	// Changes is the number of changes of services; 0 makes none.
	Changes int
	// ChangeRate is the number of changes a second; 0 means DefaultChangeRate.
	ChangeRate float64
	// Faults are the faults of the run.
	Faults []Fault
	// Seed makes the choices repeatable.
	Seed uint64
	// Idle is the time without changes before the first one, in which the idle cost is measured; 0 means DefaultIdle.
	Idle time.Duration
	// Window is the shortest time over which the changes are spread; 0 means what the faults need.
	Window time.Duration
	// LeaseTime replaces the balancers' default when it isn't 0.
	LeaseTime time.Duration
	// Log takes the daemons' log lines.
	Log zerolog.Logger

	// unfenced makes the writes of the head unconditional: a deliberately broken system that the checks must catch.
	unfenced bool
}

// Defaults of Options.
const (
	DefaultChangeRate = 7
	DefaultIdle       = 3 * time.Second
	// faultWindow is what the script of the faults needs.
	faultWindow = 28 * time.Second
)

func (o Options) withDefaults() Options {
	if o.ChangeRate == 0 {
		o.ChangeRate = DefaultChangeRate
	}
	if o.Idle == 0 {
		o.Idle = DefaultIdle
	}
	if o.Window == 0 && len(o.Faults) > 0 {
		o.Window = faultWindow
	}
	o.Window = max(o.Window, time.Duration(float64(o.Changes)/o.ChangeRate*float64(time.Second)))
	return o
}

func (o Options) has(f Fault) bool { return slices.Contains(o.Faults, f) }
