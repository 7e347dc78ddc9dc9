package request

import "github.com/auburnwood/auburnwood/pkg/refusal"

// TicketStatus is the answer to a caller that asks for a ticket or cancels it.
type TicketStatus struct {
	// Ticket is the ticket.
	Ticket string `json:"ticket"`
	// State is the name of the ticket's state.
	State string `json:"state"`
	// Run is "no" when the work never runs, "yes" when a target answered it, and "unknown" otherwise.
	Run refusal.Run `json:"run"`
	// Outcome is the HTTP status of the target's answer when Run is "yes".
	Outcome int `json:"outcome,omitempty"`
	// EndedMS is how many milliseconds ago a cancelled ticket was cancelled.
	EndedMS int64 `json:"endedMs,omitempty"`
}
