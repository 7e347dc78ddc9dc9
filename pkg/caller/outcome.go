package caller

// Outcome is whether a request's work ran.
type Outcome uint8

const (
	// OutcomeNotRun means that the work was not run and never will be.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeRan means that the work ran, once unless the request is idempotent.
	OutcomeRan
	// OutcomeUnknown means that the work may have run, or may still run.
	OutcomeUnknown
)

func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeRan:
		return "ran"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}
