package rollout

import "fmt"

// FixedThreshold compares the rate of failures of the new version with a fixed rate, MaxBurnRatio times the part that
// the objective allows, at the end of the window. It takes no notice of the old version.
type FixedThreshold struct{}

// Name implements Gate.
func (FixedThreshold) Name() string { return "fixed" }

// Evaluate implements Gate.
func (FixedThreshold) Evaluate(q GateInput) (Verdict, string) {
	if q.Evidence.Elapsed < q.Window {
		return VerdictObserve, "the window has not passed"
	}
	limit := q.Limits.MaxBurnRatio * q.Limits.budget()
	return against(q.Evidence.New.Rate(), limit)
}

// against compares a rate of failures with its limit.
func against(rate, limit float64) (Verdict, string) {
	if rate > limit {
		return VerdictRollBack, fmt.Sprintf("%.3f%% of requests failed, more than %.3f%%", rate*100, limit*100)
	}
	return VerdictPromote, fmt.Sprintf("%.3f%% of requests failed, at most %.3f%% may", rate*100, limit*100)
}
