package requests

import (
	"time"

	"github.com/rs/zerolog"
)

// Options are the command line options of the run (go-flags).
type Options struct {
	// Deployment names the services and targets: "zarqa" or "saobien".
	Deployment string `long:"deployment" default:"zarqa" description:"zarqa or saobien"`
	// Requests is the number of requests of each load.
	Requests int `long:"requests" default:"20000" description:"requests of each load"`
	// Loads are the offered loads in relation to what the slots can answer; each is a run of its own.
	Loads []float64 `long:"load" default:"0.9" description:"offered load in relation to the capacity; may be repeated"`
	// Faults is a comma-separated list of faults, "all" or "none".
	Faults string `long:"faults" default:"none" description:"comma-separated faults, all or none"`
	// ServiceTime is the mean service time of a request; the deadlines follow it.
	ServiceTime time.Duration `long:"service-time" default:"40ms" description:"mean service time; deadlines follow it"`
	// Seed makes the workload and the faults.
	Seed uint64 `long:"seed" default:"1" description:"seed of the workload and the faults"`
	// NoBaselines leaves the comparisons out.
	NoBaselines bool `long:"no-baselines" description:"run without the baselines"`
	// Dialer replaces the loopback connections to the agents; nil means the run's own.
	Dialer Dialer `no-flag:"true"`
	// NewDaemons lets the run use real daemons in place of bare request servers; nil means none.
	NewDaemons NewDaemons `no-flag:"true"`
	// Log takes the agents' log lines; the zero value drops them.
	Log zerolog.Logger `no-flag:"true"`
}
