package ctl

import (
	"errors"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Exit codes of auburnwoodctl.
const (
	// ExitOK means that the command did everything requested.
	ExitOK = 0
	// ExitFailure means that a call failed, an object does not exist or a wait timed out; no write has an unknown outcome.
	ExitFailure = 1
	// ExitUsage means a mistake on the command line or in the input; nothing was written.
	ExitUsage = 2
	// ExitConflict means that another operator's change was kept.
	ExitConflict = 3
	// ExitUnknown means that a write may have taken effect; read the object to find out.
	ExitUnknown = 4
)

// usageError is a mistake on the command line or in the input.
type usageError struct {
	reason string
}

func (e *usageError) Error() string {
	return e.reason
}

// exitCode returns the exit code of an error; of joined errors, that of the most severe.
func exitCode(err error) int {
	var u *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, objectapi.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, objectapi.ErrConflict):
		return ExitConflict
	case errors.As(err, &u), errors.Is(err, objectapi.ErrInvalid):
		return ExitUsage
	}
	return ExitFailure
}
