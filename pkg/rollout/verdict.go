package rollout

// Verdict is the decision of a gate.
type Verdict uint8

// Verdicts.
const (
	// VerdictObserve asks for more evidence.
	VerdictObserve Verdict = iota + 1
	// VerdictPromote lets the rollout go on to its next step.
	VerdictPromote
	// VerdictRollBack gives the new version up.
	VerdictRollBack
)

// String returns the verdict's name.
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
