package ticket

import "time"

// Result is the answer to a submission of a ticket.
type Result struct {
	// Won is true for the one submission that holds the ticket, which must start, cancel or lose it.
	Won bool
	// State is the state after the call.
	State State
	// Status is the HTTP status of the answer in StateRan.
	Status int
	// Ended is when a ticket in StateCancelled was cancelled.
	Ended time.Time
	// DifferentRequest is true when the ticket was first submitted with a different request.
	DifferentRequest bool
}
