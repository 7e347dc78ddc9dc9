package announcement

// Reason says why a report of a target was turned down.
type Reason string

// Reasons of rejections.
const (
	// Unreadable: the bytes are not one object.
	Unreadable Reason = "unreadable"
	// DuplicateField: a field stands twice.
	DuplicateField Reason = "duplicate-field"
	// MissingField: a field that every report has is missing.
	MissingField Reason = "missing-field"
	// WrongType: a field has a value of another type.
	WrongType Reason = "wrong-type"
	// OutOfRange: a number or a text is beyond what a target can mean.
	OutOfRange Reason = "out-of-range"
	// UnknownState: the state has no name that is known.
	UnknownState Reason = "unknown-state"
	// BadID: the name of the target is none.
	BadID Reason = "bad-id"
	// WrongService: the report is of another service than the agent's.
	WrongService Reason = "wrong-service"
	// WrongAddress: the report is of a target at another address than the one beside the agent.
	WrongAddress Reason = "wrong-address"
	// EarlierIncarnation: the report is of a process that has ended.
	EarlierIncarnation Reason = "earlier-life"
	// UnknownIncarnation: the report does not say when its process started, although the target's reports do, or says a start that
	// another target has said.
	UnknownIncarnation Reason = "unknown-life"
)

// Rejection is the error of a report that was turned down. It changes nothing that the agent believes.
type Rejection struct {
	Reason Reason
	// Field is the field that is wrong, if one is.
	Field string
}

// Error implements error.
func (r *Rejection) Error() string {
	if r.Field == "" {
		return "report turned down: " + string(r.Reason)
	}
	return "report turned down: " + string(r.Reason) + ": " + r.Field
}
