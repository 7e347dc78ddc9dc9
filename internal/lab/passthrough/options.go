package passthrough

import (
	"cmp"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
)

// Defaults of Options' fields.
const (
	DefaultBalancers = 3
	DefaultFlows     = 1000
	DefaultWindow    = 12 * time.Second
)

// Options configure a run.
type Options struct {
	// Deployment is "zarqa" or "saobien".
	Deployment string
	// Balancers is the number of balancers at the start; 0 means DefaultBalancers.
	Balancers int
	// Flows is the number of flows in the whole run; 0 means DefaultFlows.
	Flows int
	// Faults are injected at random times between 20 % and 60 % of the window.
	Faults []flows.Fault
	// Seed makes random choices repeatable.
	Seed uint64
	// Window is the time in which flows start; 0 means DefaultWindow.
	Window time.Duration
	// Log receives the log of balancers, agents and callers.
	Log zerolog.Logger
}

func (o Options) withDefaults() Options {
	o.Balancers = cmp.Or(o.Balancers, DefaultBalancers)
	o.Flows = cmp.Or(o.Flows, DefaultFlows)
	o.Window = cmp.Or(o.Window, DefaultWindow)
	return o
}

func (o Options) check() error {
	if o.Balancers < 0 || o.Flows < 0 || o.Window < 0 {
		return trace.BadParameter("balancers, flows and window must not be negative")
	}
	return nil
}

func (o Options) deployment() (flows.Deployment, error) {
	for _, d := range flows.Deployments {
		if d.Name == o.Deployment {
			return d, nil
		}
	}
	return flows.Deployment{}, trace.BadParameter("unknown deployment %q", o.Deployment)
}
