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

// Options say what to run.
type Options struct {
	// Deployment is "zarqa" or "saobien".
	Deployment string
	// Balancers is the number of balancers at the start.
	Balancers int
	// Flows is the number of flows in the whole run.
	Flows int
	// Faults happen together.
	Faults []flows.Fault
	// Seed makes the choices repeatable.
	Seed uint64
	// Window is the time in which flows begin.
	Window time.Duration
	// Log takes the log lines of balancers and agents.
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
	return flows.Deployment{}, trace.BadParameter("no deployment is named %q", o.Deployment)
}
