package caller

import (
	"sync"
	"time"
)

// ticketMargin is how long before its expiry a ticket is no longer used.
const ticketMargin = 2 * time.Second

// wallet keeps the tickets that were taken ahead.
type wallet struct {
	mu      sync.Mutex
	tickets []heldTicket
}

type heldTicket struct {
	text    string
	expires time.Time
}

func (w *wallet) put(texts []string, expires time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range texts {
		w.tickets = append(w.tickets, heldTicket{text: text, expires: expires})
	}
}

// take returns the newest ticket that is still good, and drops the others.
func (w *wallet) take(now time.Time) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.tickets) > 0 {
		last := w.tickets[len(w.tickets)-1]
		w.tickets = w.tickets[:len(w.tickets)-1]
		if now.Add(ticketMargin).Before(last.expires) {
			return last.text, true
		}
	}
	return "", false
}
