package ticket

import "errors"

// Errors of the package; test for them with errors.Is.
var (
	// ErrMalformed means that a text is not an encoded ticket.
	ErrMalformed = errors.New("malformed ticket")
	// ErrFull means that the book has no room for the new tickets until older ones may be evicted.
	ErrFull = errors.New("ticket book is full")
)
