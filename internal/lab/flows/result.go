package flows

import (
	"fmt"
	"time"
)

// Limits of the promises that a run checks.
const (
	// MostImbalance is the highest promised ratio of open flows, highest over mean among targets.
	MostImbalance = 1.05
	// MostWait is the longest promised stall, and the longest promised wait of new flows at the 95th percentile, after a
	// balancer or an agent was killed.
	MostWait = 3 * time.Second
	// MostLeaving is the time after which a leaving target must take no new flow.
	MostLeaving = 5 * time.Second
)

// Result is what a run measured.
type Result struct {
	// Flows is the number of flows that were run.
	Flows int
	// Broken flows ended early although their target lived; Crossed flows were answered by another service; Mixed flows
	// got wrong bytes.
	Broken, Crossed, Mixed int
	// Imbalance is the worst ratio of open flows after the warm-up, over all services.
	Imbalance float64
	// BaselineImbalance is the best ratio that any baseline reaches on the same flows.
	BaselineImbalance float64
	// Baselines are the ratios of each baseline by its name.
	Baselines map[string]float64
	// MeanOpen is the lowest mean of open flows among the services while the imbalance was measured.
	MeanOpen float64
	// Load is the part of the targets' connections that was in use then.
	Load float64
	// OpenAtOnce is the highest number of flows that were open at once.
	OpenAtOnce int
	// Killed is the number of flows that ended because their own target was killed, Explained those with a record.
	Killed, Explained int
	// Refused is the number of refusal records.
	Refused int
	// FalseRecords is the number of flows that ended well and yet have a refusal record.
	FalseRecords int
	// Kills is the number of balancers and agents that were killed.
	Kills int
	// LongestStall is the longest stall of a flow that ended well, StallP95 the 95th percentile of the longest stalls.
	LongestStall, StallP95 time.Duration
	// NewFlowWait is the wait of flows that began within the window after a kill, 95th percentile; NewFlows their number.
	NewFlowWait, LongestNewFlowWait time.Duration
	NewFlows                        int
	// ExtraHops is the mean number of times that a packet was passed between agents.
	ExtraHops float64
	// LateWork is the number of flows that a leaving target took after MostLeaving.
	LateWork int
	// Bytes is the number of bytes that were checked.
	Bytes int64
	// Failures are faults that could not be made.
	Failures []error
}

// Line is the last line of a run.
func (r Result) Line() string {
	return fmt.Sprintf("flows=%d broken=%d crossed=%d mixed=%d imbalance=%.3f baseline_imbalance=%.3f",
		r.Flows, r.Broken, r.Crossed, r.Mixed, r.Imbalance, r.BaselineImbalance)
}

// BrokenPromises lists the promises that the run broke.
func (r Result) BrokenPromises() []string {
	var out []string
	add := func(broken bool, format string, args ...any) {
		if broken {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(r.Broken > 0, "%d flows broke although their target lived", r.Broken)
	add(r.Crossed > 0, "%d flows were answered by another service", r.Crossed)
	add(r.Mixed > 0, "%d flows got wrong bytes", r.Mixed)
	add(r.Explained < r.Killed, "%d of %d flows of killed targets have no refusal record", r.Killed-r.Explained, r.Killed)
	add(r.LateWork > 0, "%d flows went to a target %s after it was told to leave", r.LateWork, MostLeaving)
	add(r.MeanOpen >= judgedMean && r.Imbalance > MostImbalance, "imbalance %.3f is above %.2f", r.Imbalance, MostImbalance)
	add(r.Kills > 0 && r.StallP95 > MostWait, "flows stalled for %s at the 95th percentile", r.StallP95)
	add(r.Kills > 0 && r.NewFlowWait > MostWait, "new flows waited for %s at the 95th percentile", r.NewFlowWait)
	for _, err := range r.Failures {
		out = append(out, "a fault could not be made: "+err.Error())
	}
	return out
}
