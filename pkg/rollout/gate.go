package rollout

import "time"

// GateInput is what a gate is asked at one time.
type GateInput struct {
	Limits   Limits
	Evidence Evidence
	// Window is the shortest time for which the step is observed.
	Window time.Duration
	// Next is the weight of the new version after a promotion, in percent.
	Next uint32
}

// Gate decides on a step of a rollout. Gates are functions of the question alone.
type Gate interface {
	// Name names the gate in tables and logs.
	Name() string
	// Evaluate returns the verdict and its reason in one sentence.
	Evaluate(q GateInput) (Verdict, string)
}
