package telemetry

import "time"

// lineBudget bounds log lines by a rate and a burst. It is not safe for concurrent use.
type lineBudget struct {
	// rate is in lines a second, burst in lines.
	rate, burst float64
	tokens      float64
	filled      time.Time
}

func newLineBudget(now time.Time, rate, burst float64) lineBudget {
	return lineBudget{rate: rate, burst: burst, tokens: burst, filled: now}
}

// allow takes one line from the budget; it returns false when there is none.
func (b *lineBudget) allow(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
