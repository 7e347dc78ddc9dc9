package requests

import (
	"time"

	"github.com/rs/zerolog"
)

// Options are the command line options of the run (go-flags).
type Options struct {
	// Deployment names the services and targets: "zarqa" or "saobien".
	Deployment string `long:"deployment" default:"zarqa" description:"zarqa or saobien"`
	Requests   int    `long:"requests" default:"20000" description:"requests of each load"`
	// Loads are the offered loads relative to the capacity of the slots; each is a separate run.
	Loads []float64 `long:"load" default:"0.9" description:"offered load in relation to the capacity; may be repeated"`
	// Faults is a comma-separated list of faults, "all" or "none".
	Faults string `long:"faults" default:"none" description:"comma-separated faults, all or none"`
	// ServiceTime is the mean service time of a request; deadlines are proportional to it.
	ServiceTime time.Duration `long:"service-time" default:"40ms" description:"mean service time; deadlines follow it"`
	// Seed seeds the workload and the faults.
	Seed uint64 `long:"seed" default:"1" description:"seed of the workload and the faults"`
	// NoBaselines skips the runs with the baseline policies.
	NoBaselines bool `long:"no-baselines" description:"run without the baselines"`
	// Dialer replaces the direct loopback connections to the agents unless it is nil.
	Dialer Dialer `no-flag:"true"`
	// NewDaemons makes the run use real daemons in place of bare request servers unless it is nil.
	NewDaemons NewDaemons `no-flag:"true"`
	// Log receives the agents' log lines; the zero value discards them.
	Log zerolog.Logger `no-flag:"true"`
}
