package caller

import (
	"sync"
	"time"
)

// ticketMargin is how long before its expiry a ticket is no longer used.
const ticketMargin = 2 * time.Second

// ticketCache holds tickets for later requests.
type ticketCache struct {
	mu      sync.Mutex
	tickets []cachedTicket
}

type cachedTicket struct {
	text    string
	expires time.Time
}

func (w *ticketCache) put(texts []string, expires time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range texts {
		w.tickets = append(w.tickets, cachedTicket{text: text, expires: expires})
	}
}

// take removes and returns the most recently added valid ticket, and drops the expired ones that it finds first.
func (w *ticketCache) take(now time.Time) (string, bool) {
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
