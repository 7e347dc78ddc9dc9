package request

import "time"

// TicketList is the response to a caller that requests tickets.
type TicketList struct {
	// Tickets are each good for one piece of work.
	Tickets []string `json:"tickets"`
	// Expires is the earliest expiry of the tickets.
	Expires time.Time `json:"expires"`
}
