package caller

// Outcome says what became of a request's work.
type Outcome uint8

// Outcomes.
const (
	// OutcomeNotRun means that the work was not run and never will be.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeRan means that the work ran, once unless the request is idempotent.
	OutcomeRan
	// OutcomeUnknown means that the work may have run, or may still run.
	OutcomeUnknown
)

// String returns the outcome in words.
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
