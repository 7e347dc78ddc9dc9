package rollout

import "github.com/auburnwood/auburnwood/pkg/resource"

// Limits define when a new version is harmful: its failure rate is above both the rate that the objective allows and
// MaxBurnRatio times the rate of the old version. The ratio of the failure rates is the ratio of the burn rates, since
// both versions share the objective.
type Limits struct {
	// Objective is the fraction of requests that must succeed.
	Objective float64
	// MaxBurnRatio is the highest burn rate of the new version relative to the old one.
	MaxBurnRatio float64
}

// LimitsOf returns the limits in the specification of a rollout.
func LimitsOf(r resource.Rollout) Limits {
	return Limits{Objective: r.Objective, MaxBurnRatio: r.MaxBurnRatio}
}

// budget returns the fraction of requests that may fail.
func (l Limits) budget() float64 { return 1 - l.Objective }
