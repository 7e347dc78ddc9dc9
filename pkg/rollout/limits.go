package rollout

import "github.com/auburnwood/auburnwood/pkg/resource"

// Limits say what a new version may do. A new version is harmful when its rate of failures is above both the part
// that the objective allows and MaxBurnRatio times the rate of the old version; the ratio of the rates of failures is
// the ratio of the burn rates, since both versions share the objective.
type Limits struct {
	// Objective is the part of requests that must succeed.
	Objective float64
	// MaxBurnRatio is the highest burn rate of the new version in relation to the old one.
	MaxBurnRatio float64
}

// LimitsOf returns the limits that the specification of a rollout sets.
func LimitsOf(r resource.Rollout) Limits {
	return Limits{Objective: r.Objective, MaxBurnRatio: r.MaxBurnRatio}
}

// budget is the part of requests that may fail.
func (l Limits) budget() float64 { return 1 - l.Objective }
