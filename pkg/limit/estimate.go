package limit

import "time"

// estimate is a running mean and mean deviation, with the weights of the TCP retransmission timer (RFC 6298).
type estimate struct {
	mean, deviation time.Duration
	hasSample       bool
}

func (e *estimate) add(d time.Duration) {
	if !e.hasSample {
		e.mean, e.deviation, e.hasSample = d, d/2, true
		return
	}
	diff := (d - e.mean).Abs()
	e.deviation += (diff - e.deviation) / 4
	e.mean += (d - e.mean) / 8
}

// resetIfBelow discards the samples when d is below their mean; the next sample then starts the estimate anew.
func (e *estimate) resetIfBelow(d time.Duration) {
	if d < e.mean {
		e.hasSample = false
	}
}

// upperBound returns a time that most samples are below.
func (e *estimate) upperBound() time.Duration { return e.mean + 2*e.deviation }
