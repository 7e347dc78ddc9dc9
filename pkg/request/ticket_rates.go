package request

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// A caller's tickets are limited, so that one caller can't fill the memory that all share.
const (
	ticketRate  = 200
	ticketBurst = 4 * maxTickets
	// ticketCallers is the number of callers whose rate is remembered.
	ticketCallers = 4096
)

// ticketRates limits the tickets of each caller.
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

// allow takes n tickets of a caller's share; otherwise it returns when n will be there.
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
