package rollout

// RelativeBurn compares the burn rates of both versions as they were counted, at the end of the window.
type RelativeBurn struct{}

// Name implements Gate.
func (RelativeBurn) Name() string { return "relative" }

// Evaluate implements Gate.
func (RelativeBurn) Evaluate(q GateInput) (Verdict, string) {
	if q.Evidence.Elapsed < q.Window {
		return VerdictObserve, "the window has not passed"
	}
	limit := max(q.Limits.MaxBurnRatio*q.Evidence.Old.Rate(), q.Limits.budget())
	return against(q.Evidence.New.Rate(), limit)
}
