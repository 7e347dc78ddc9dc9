package rollout

import "time"

// GateInput is the input of a gate for one decision.
type GateInput struct {
	Limits   Limits
	Evidence Evidence
	// Window is the minimum time for which the step is observed.
	Window time.Duration
	// Next is the weight of the new version after a promotion, in percent.
	Next uint32
}

// Gate decides on a step of a rollout. Its decision depends on the input alone.
type Gate interface {
	// Name returns the gate's name for tables and logs.
	Name() string
	// Evaluate returns the verdict and its reason in one sentence.
	Evaluate(q GateInput) (Verdict, string)
}
