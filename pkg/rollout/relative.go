package rollout

// RelativeBurn compares the observed burn rates of both versions at the end of the window, without regard to chance.
type RelativeBurn struct{}

func (RelativeBurn) Name() string { return "relative" }

func (RelativeBurn) Evaluate(q GateInput) (Verdict, string) {
	if q.Evidence.Elapsed < q.Window {
		return VerdictObserve, "the window has not passed"
	}
	limit := max(q.Limits.MaxBurnRatio*q.Evidence.Old.Rate(), q.Limits.budget())
	return compareRate(q.Evidence.New.Rate(), limit)
}
