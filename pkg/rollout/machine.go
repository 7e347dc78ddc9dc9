package rollout

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Step returns the next state, given the evidence of the current step. The state is returned unchanged while the step
// is observed or after the rollout has ended. The first call for a rollout begins its first step. A step of weight 100
// leaves no old version to compare with, so it completes the rollout at once.
func Step(r resource.Rollout, s resource.RolloutStatus, e Evidence, g Gate, now time.Time) resource.RolloutStatus {
	if s.From != r.From || s.To != r.To {
		s = Initial(r)
	}
	if s.State != resource.RolloutProgressing {
		return s
	}
	if s.Weight == 0 {
		return enterStep(r, s, 0, now, "the rollout has begun")
	}
	v, why := g.Evaluate(newGateInput(r, s, e))
	switch v {
	case VerdictPromote:
		return enterStep(r, s, s.Step+1, now, why)
	case VerdictRollBack:
		return rollBack(s, now, why)
	}
	return s
}

func newGateInput(r resource.Rollout, s resource.RolloutStatus, e Evidence) GateInput {
	q := GateInput{Limits: LimitsOf(r), Evidence: e, Next: fullWeight}
	if s.Step < len(r.Steps) {
		q.Window = time.Duration(r.Steps[s.Step].Window)
	}
	if s.Step+1 < len(r.Steps) {
		q.Next = r.Steps[s.Step+1].Weight
	}
	return q
}

// enterStep begins a step. A step beyond the last one of the specification, which may have been shortened, completes
// the rollout.
func enterStep(r resource.Rollout, s resource.RolloutStatus, step int, now time.Time, why string) resource.RolloutStatus {
	s.Step = step
	s.Weight = fullWeight
	s.Since = now
	s.Message = why
	if step < len(r.Steps) {
		s.Weight = r.Steps[step].Weight
	}
	if s.Weight >= fullWeight {
		s.State = resource.RolloutCompleted
	}
	return s
}

func rollBack(s resource.RolloutStatus, now time.Time, why string) resource.RolloutStatus {
	s.State = resource.RolloutRolledBack
	s.Weight = 0
	s.Since = now
	s.Message = why
	return s
}
