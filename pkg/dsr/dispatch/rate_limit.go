package dispatch

import "time"

// rateLimit is a token bucket that may be overdrawn.
type rateLimit struct {
	left float64
	at   time.Time
}

// refill adds the tokens since the last call and reports whether there is one.
func (l *rateLimit) refill(now time.Time, perSecond, burst float64) bool {
	l.left = min(burst, l.left+perSecond*now.Sub(l.at).Seconds())
	l.at = now
	return l.left >= 1
}
