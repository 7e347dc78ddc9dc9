package request

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// Limits of the tickets issued to one caller, so that no caller can fill the memory that all callers share. ticketRate
// is in tickets per second.
const (
	ticketRate  = 200
	ticketBurst = 4 * maxTickets
	// ticketCallers is the number of callers whose rate is tracked.
	ticketCallers = 4096
)

// ticketRates limits the rate of tickets for each caller.
type ticketRates struct {
	callers *lru.Cache[netip.Addr, *rate.Limiter]
}

func newTicketRates() ticketRates {
	callers, err := lru.New[netip.Addr, *rate.Limiter](ticketCallers)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return ticketRates{callers: callers}
}

// allow takes n tickets of a caller's rate; otherwise it returns how long until n are available.
func (t ticketRates) allow(now time.Time, caller netip.Addr, n int) (time.Duration, bool) {
	fresh := rate.NewLimiter(ticketRate, ticketBurst)
	l, known, _ := t.callers.PeekOrAdd(caller, fresh)
	if !known {
		l = fresh
	}
	r := l.ReserveN(now, n)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return 0, true
	}
	r.CancelAt(now)
	return wait, false
}
