package request

import "github.com/auburnwood/auburnwood/pkg/refusal"

// TicketStatus is the response to a caller that queries or cancels a ticket.
type TicketStatus struct {
	Ticket string `json:"ticket"`
	// State is the name of the ticket's state.
	State string `json:"state"`
	// Run is "no" when the work never runs, "yes" when the target responded, and "unknown" otherwise.
	Run refusal.Run `json:"run"`
	// Outcome is the HTTP status of the target's response when Run is "yes".
	Outcome int `json:"outcome,omitempty"`
	// EndedMS is the number of milliseconds since the ticket was cancelled, if it was.
	EndedMS int64 `json:"endedMs,omitempty"`
}
