package dsrd

import (
	"math"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// serviceState is what a balancer knows of the load of a service at one time.
type serviceState struct {
	// saturatedSince is when the service's overload began, zero when there is none.
	saturatedSince time.Time
	// refused are the priorities of which new flows are refused.
	refused []int
	// capacity is the number of requests that the targets finish in a second, 0 when it is unknown; demands are the requests
	// that are asked of them.
	capacity float64
	demands  []resource.DSRPriorityDemand
	targets  dispatch.TargetSummary
}

// serviceStates provides the states of all services that have agents, by service.
type serviceStates interface {
	serviceStates(now time.Time) map[string]serviceState
}

// saturated reports whether callers of the service are refused for lack of capacity.
func (s serviceState) saturated() bool { return !s.saturatedSince.IsZero() || s.targets.Saturated() }

// differs reports whether a stored status has to be replaced. Figures alone are no reason. A service that was never
// saturated has no status.
func (s serviceState) differs(stored resource.DSRServiceStatus) bool {
	if s.saturated() != stored.Saturated() {
		return true
	}
	return s.saturated() && !slices.Equal(s.sortedRefused(), stored.RefusedPriorities)
}

// status returns the status that replaces the stored one. A saturation that goes on keeps its beginning.
func (s serviceState) status(now time.Time, writer string, stored resource.DSRServiceStatus) resource.DSRServiceStatus {
	out := resource.DSRServiceStatus{
		State:                    resource.DSRSaturated,
		SaturatedSince:           s.saturatedSince.UTC(),
		CapacityPerSecond:        roundFigure(s.capacity),
		Demands:                  s.roundedDemands(),
		TargetsReady:             s.targets.Ready,
		TargetsAtConnectionLimit: s.targets.AtConnectionLimit,
		FastestWorkMs:            workMs(s.targets.FastestWork),
		SlowestWorkMs:            workMs(s.targets.SlowestWork),
		Writer:                   writer,
		Written:                  now.UTC(),
	}
	if !s.saturated() {
		out.State, out.SaturatedSince, out.Ended = resource.DSREnded, stored.SaturatedSince, now.UTC()
		return out
	}
	out.RefusedPriorities = s.sortedRefused()
	if stored.Saturated() {
		out.SaturatedSince = stored.SaturatedSince
	}
	if out.SaturatedSince.IsZero() {
		out.SaturatedSince = now.UTC()
	}
	return out
}

func (s serviceState) sortedRefused() []int { return slices.Sorted(slices.Values(s.refused)) }

func (s serviceState) roundedDemands() []resource.DSRPriorityDemand {
	var out []resource.DSRPriorityDemand
	for _, d := range s.demands {
		d.PerSecond = roundFigure(d.PerSecond)
		out = append(out, d)
	}
	return out
}

// workMs returns a time for a request in milliseconds, rounded.
func workMs(d time.Duration) float64 { return roundFigure(d.Seconds() * 1000) }

// roundFigure rounds to two significant digits: the figures are estimates. What is not a finite number becomes 0, since
// JSON has no form for it.
func roundFigure(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-1)
	if unit >= 1 {
		return math.Round(v/unit) * unit
	}
	// Dividing by the inverse keeps the digits that a reader expects, such as 0.3 instead of 0.30000000000000004.
	inverse := math.Round(1 / unit)
	return math.Round(v*inverse) / inverse
}
