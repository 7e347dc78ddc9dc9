package rollout

import "fmt"

// FixedThreshold compares the failure rate of the new version at the end of the window with a fixed rate, MaxBurnRatio
// times the rate that the objective allows. It ignores the old version.
type FixedThreshold struct{}

func (FixedThreshold) Name() string { return "fixed" }

func (FixedThreshold) Evaluate(q GateInput) (Verdict, string) {
	if q.Evidence.Elapsed < q.Window {
		return VerdictObserve, "the window has not passed"
	}
	limit := q.Limits.MaxBurnRatio * q.Limits.budget()
	return compareRate(q.Evidence.New.Rate(), limit)
}

// compareRate compares a failure rate with its limit.
func compareRate(rate, limit float64) (Verdict, string) {
	if rate > limit {
		return VerdictRollBack, fmt.Sprintf("%.3f%% of requests failed, more than %.3f%%", rate*100, limit*100)
	}
	return VerdictPromote, fmt.Sprintf("%.3f%% of requests failed, at most %.3f%% may", rate*100, limit*100)
}
