package objectapi

import "errors"

// Errors of a Store; test for them with errors.Is.
var (
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExpired means that the store no longer has the events after a watch's version; list again.
	ErrExpired = errors.New("watch version expired")
	// ErrUnavailable means that the store did not accept the call or a read failed; nothing was written.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect; read the object back to find out.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrInvalid means that the call itself is invalid, for example a value above MaxValueSize; nothing was written.
	ErrInvalid = errors.New("invalid call")
)
