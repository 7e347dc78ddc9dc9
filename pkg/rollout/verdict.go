package rollout

// Verdict is the decision of a gate.
type Verdict uint8

const (
	// VerdictObserve waits for more evidence.
	VerdictObserve Verdict = iota + 1
	// VerdictPromote advances the rollout to its next step.
	VerdictPromote
	// VerdictRollBack rolls the new version back.
	VerdictRollBack
)

func (v Verdict) String() string {
	switch v {
	case VerdictObserve:
		return "observe"
	case VerdictPromote:
		return "promote"
	case VerdictRollBack:
		return "roll-back"
	}
	return "unknown"
}
