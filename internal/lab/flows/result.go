package flows

import (
	"fmt"
	"time"
)

// Limits that a run checks.
const (
	// MaxImbalance is the maximum ratio of the highest to the mean number of open flows among targets.
	MaxImbalance = 1.05
	// MaxWait is the maximum 95th percentile of stalls and of the waiting times of new flows after a balancer or an agent was
	// killed.
	MaxWait = 3 * time.Second
	// MaxDrainDelay is the time after which a draining target must accept no new flow.
	MaxDrainDelay = 5 * time.Second
)

// Result holds the measurements of a run.
type Result struct {
	Flows int
	// Broken flows ended early although their target was alive; Crossed flows were answered by another service; Mixed flows
	// received wrong bytes.
	Broken, Crossed, Mixed int
	// Imbalance is the worst ratio of open flows after the warm-up, over all services.
	Imbalance float64
	// BaselineImbalance is the lowest ratio that any baseline reaches on the same flows.
	BaselineImbalance float64
	// Baselines holds the ratio of each baseline by name.
	Baselines map[string]float64
	// MeanOpen is the lowest mean of open flows among the services while the imbalance was measured.
	MeanOpen float64
	// Load is MeanOpen as a fraction of the connection limit.
	Load float64
	// OpenAtOnce is the highest number of flows that were open concurrently.
	OpenAtOnce int
	// Killed is the number of flows that ended because their own target was killed, Explained those with a record.
	Killed, Explained int
	// Refused is the number of refusal records.
	Refused int
	// FalseRecords is the number of flows that completed and yet have a refusal record.
	FalseRecords int
	// Kills is the number of balancers and agents that were killed.
	Kills int
	// LongestStall is the longest stall of a long flow that completed, StallP95 the 95th percentile of the flows' longest
	// stalls.
	LongestStall, StallP95 time.Duration
	// NewFlowWait is the 95th percentile of the time to open of completed flows that started within waitWindow after a
	// kill, LongestNewFlowWait the maximum, NewFlows the number of these flows.
	NewFlowWait, LongestNewFlowWait time.Duration
	NewFlows                        int
	// ExtraHops is the mean number of hops between agents per delivered packet.
	ExtraHops float64
	// LateWork is the number of flows that a draining target accepted after MaxDrainDelay.
	LateWork int
	// Bytes is the number of bytes checked.
	Bytes int64
	// Failures are the errors of faults that could not be injected.
	Failures []error
}

// Line returns the last line of the summary.
func (r Result) Line() string {
	return fmt.Sprintf("flows=%d broken=%d crossed=%d mixed=%d imbalance=%.3f baseline_imbalance=%.3f",
		r.Flows, r.Broken, r.Crossed, r.Mixed, r.Imbalance, r.BaselineImbalance)
}

// Violations describes the limits and guarantees that the run violated.
func (r Result) Violations() []string {
	var out []string
	add := func(broken bool, format string, args ...any) {
		if broken {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(r.Broken > 0, "%d flows broke although their target was alive", r.Broken)
	add(r.Crossed > 0, "%d flows were answered by another service", r.Crossed)
	add(r.Mixed > 0, "%d flows received wrong bytes", r.Mixed)
	add(r.Explained < r.Killed, "%d of %d flows of killed targets have no refusal record", r.Killed-r.Explained, r.Killed)
	add(r.LateWork > 0, "%d flows were accepted by a target more than %s after its drain began", r.LateWork, MaxDrainDelay)
	add(r.MeanOpen >= minMeanOpen && r.Imbalance > MaxImbalance, "imbalance %.3f is above %.2f", r.Imbalance, MaxImbalance)
	add(r.Kills > 0 && r.StallP95 > MaxWait, "flows stalled for %s at the 95th percentile", r.StallP95)
	add(r.Kills > 0 && r.NewFlowWait > MaxWait, "new flows waited for %s at the 95th percentile", r.NewFlowWait)
	for _, err := range r.Failures {
		out = append(out, "fault injection failed: "+err.Error())
	}
	return out
}
