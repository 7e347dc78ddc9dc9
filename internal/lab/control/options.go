package control

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Options are the options of a run.
type Options struct {
	// Balancers and Targets are the initial numbers.
	Balancers int
	Targets   int
	// Changes is the number of changes of services.
	Changes int
	// ChangeRate is the number of changes per second; 0 means DefaultChangeRate.
	ChangeRate float64
	Faults     []Fault
	// Seed seeds the random choices.
	Seed uint64
	// Idle is the time before the first change, in which the idle cost is measured; 0 means DefaultIdle.
	Idle time.Duration
	// Window is the shortest time over which the changes are spread; 0 means faultWindow if there are faults.
	Window time.Duration
	// LeaseTime replaces the balancers' default when it isn't 0.
	LeaseTime time.Duration
	// Log receives the daemons' log lines.
	Log zerolog.Logger

	// unfenced makes updates of the head unconditional, a deliberate fault that the checks must detect.
	unfenced bool
}

// Defaults of Options.
const (
	DefaultChangeRate = 7
	DefaultIdle       = 3 * time.Second
	// faultWindow is long enough for every step of the fault script.
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
