package rollout

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Step returns the state that follows, given the evidence of the current step. The state is returned unchanged while
// the step is observed or the rollout has ended. The first call of a rollout begins its first step. A step of weight
// 100 leaves nothing to compare with and so completes the rollout at once.
func Step(r resource.Rollout, s resource.RolloutStatus, e Evidence, g Gate, now time.Time) resource.RolloutStatus {
	if s.From != r.From || s.To != r.To {
		s = Initial(r)
	}
	if s.State != resource.RolloutProgressing {
		return s
	}
	if s.Weight == 0 {
		return enter(r, s, 0, now, "the rollout has begun")
	}
	v, why := g.Evaluate(question(r, s, e))
	switch v {
	case VerdictPromote:
		return enter(r, s, s.Step+1, now, why)
	case VerdictRollBack:
		return back(s, now, why)
	}
	return s
}

func question(r resource.Rollout, s resource.RolloutStatus, e Evidence) GateInput {
	q := GateInput{Limits: LimitsOf(r), Evidence: e, Next: full}
	if s.Step < len(r.Steps) {
		q.Window = time.Duration(r.Steps[s.Step].Window)
	}
	if s.Step+1 < len(r.Steps) {
		q.Next = r.Steps[s.Step+1].Weight
	}
	return q
}

// enter begins a step. Steps that were taken out of the specification meanwhile count as passed.
func enter(r resource.Rollout, s resource.RolloutStatus, step int, now time.Time, why string) resource.RolloutStatus {
	s.Step = step
	s.Weight = full
	s.Since = now
	s.Message = why
	if step < len(r.Steps) {
		s.Weight = r.Steps[step].Weight
	}
	if s.Weight >= full {
		s.State = resource.RolloutCompleted
	}
	return s
}

func back(s resource.RolloutStatus, now time.Time, why string) resource.RolloutStatus {
	s.State = resource.RolloutRolledBack
	s.Weight = 0
	s.Since = now
	s.Message = why
	return s
}
