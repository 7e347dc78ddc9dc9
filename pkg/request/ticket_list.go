package request

import "time"

// TicketList is the answer to a caller that takes tickets ahead.
type TicketList struct {
	// Tickets are good for one piece of work each.
	Tickets []string `json:"tickets"`
	// Expires is when the first of them can no longer be used.
	Expires time.Time `json:"expires"`
}
