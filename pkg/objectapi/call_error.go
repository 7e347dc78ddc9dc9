package objectapi

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Op names a method of Store in errors, logs and counts.
type Op string

// Operations of a Store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpSample Op = "sample"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// Writes reports whether the operation changes the store.
func (o Op) Writes() bool {
	return o == OpCreate || o == OpUpdate || o == OpDelete
}

// CallError is the error of one call: the operation, the object, the peer and the reason.
type CallError struct {
	Op Op
	// Kind and Name identify the object; Name is empty for a list, a sample and a watch.
	Kind Kind
	Name string
	// Peer is the base URL of the API, or the name of the component that failed the call.
	Peer string
	// Err is one of the errors of this package.
	Err error
	// Cause is the underlying error; nil when there is none.
	Cause error
	// Current is the stored object where the API sent it with a conflict; its Version is 0 otherwise.
	Current Object
}

// CurrentObject returns the stored object that the API sent with a conflict, and whether it did.
func CurrentObject(err error) (Object, bool) {
	var e *CallError
	if !errors.As(err, &e) || e.Current.Version == 0 {
		return Object{}, false
	}
	return e.Current, true
}

// Error describes the call and its failure in one line.
func (e *CallError) Error() string {
	s := fmt.Sprintf("op=%s kind=%s name=%q peer=%s: %v", e.Op, e.Kind, e.Name, e.Peer, e.Err)
	if e.Cause == nil {
		return s
	}
	return s + ": " + e.Cause.Error()
}

// Unwrap exposes both the typed error and the cause to errors.Is and errors.As.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Err}
	}
	return []error{e.Err, e.Cause}
}

// NewCallError returns a CallError with a stack trace.
func NewCallError(op Op, kind Kind, name, peer string, err, cause error) error {
	return trace.Wrap(&CallError{Op: op, Kind: kind, Name: name, Peer: peer, Err: err, Cause: cause})
}
