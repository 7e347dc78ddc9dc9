package limit

import "time"

// estimate is a running mean and mean deviation, with the weights of the TCP retransmission timer (RFC 6298).
type estimate struct {
	mean, deviation time.Duration
	known           bool
}

func (e *estimate) add(d time.Duration) {
	if !e.known {
		e.mean, e.deviation, e.known = d, d/2, true
		return
	}
	diff := (d - e.mean).Abs()
	e.deviation += (diff - e.deviation) / 4
	e.mean += (d - e.mean) / 8
}

// restart forgets the past when d contradicts it.
func (e *estimate) restart(d time.Duration) {
	if d < e.mean {
		e.known = false
	}
}

// high returns a time that most requests stay below.
func (e *estimate) high() time.Duration { return e.mean + 2*e.deviation }
