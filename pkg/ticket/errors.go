package ticket

import "errors"

// Errors of the package; test for them with errors.Is.
var (
	// ErrMalformed means that a text is no ticket.
	ErrMalformed = errors.New("malformed ticket")
	// ErrFull means that the book has no room for a new ticket before older ones may be forgotten.
	ErrFull = errors.New("ticket book is full")
)
