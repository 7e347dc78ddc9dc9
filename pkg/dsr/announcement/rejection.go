package announcement

import "errors"

// Reason says why a target's report was rejected.
type Reason string

const (
	// Unreadable: the bytes are not one object.
	Unreadable Reason = "unreadable"
	// DuplicateField: a field occurs twice.
	DuplicateField Reason = "duplicate-field"
	// MissingField: a required field is missing.
	MissingField Reason = "missing-field"
	// WrongType: a field has a value of another type.
	WrongType Reason = "wrong-type"
	// OutOfRange: a number or a string is outside the permitted range.
	OutOfRange Reason = "out-of-range"
	// UnknownState: the state is not a known one.
	UnknownState Reason = "unknown-state"
	// BadID: the target's name is invalid.
	BadID Reason = "bad-id"
	// WrongService: the report names another service than the agent's.
	WrongService Reason = "wrong-service"
	// WrongAddress: the report is of a target at another address than the agent's.
	WrongAddress Reason = "wrong-address"
	// EarlierIncarnation: the report is of a process that has ended.
	EarlierIncarnation Reason = "earlier-life"
	// UnconfirmedIncarnation: the report is of a process that the agent has not heard of, while another one may run. It is a
	// late report of an earlier process, or the first of a new one.
	UnconfirmedIncarnation Reason = "unconfirmed-life"
	// UnknownIncarnation: the report does not say when its process started, although the target's reports do, or
	// names a start that another target has reported.
	UnknownIncarnation Reason = "unknown-life"
)

// Rejection is the error of a rejected report. It leaves the agent's view of the target unchanged.
type Rejection struct {
	Reason Reason
	// Field is the invalid field, if the reason concerns one.
	Field string
}

func (r *Rejection) Error() string {
	if r.Field == "" {
		return "report turned down: " + string(r.Reason)
	}
	return "report turned down: " + string(r.Reason) + ": " + r.Field
}

// IsUnconfirmed reports whether an error is the rejection of a process that a health check may confirm.
func IsUnconfirmed(err error) bool {
	var r *Rejection
	return errors.As(err, &r) && r.Reason == UnconfirmedIncarnation
}
