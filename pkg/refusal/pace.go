package refusal

import "time"

// pace decides when the next object is written. It starts from the least interval and doubles it with every object
// that follows the last closely and with every failure, so that many processes that refuse for long, or a store that
// is down, see few calls from each.
type pace struct {
	min, max time.Duration
	rand     func() float64

	interval time.Duration
	last     time.Time
	next     time.Time
	failing  bool
}

// due says whether to write now: oldest is when the first of the held records came, full says that memory fills up.
func (p *pace) due(now, oldest time.Time, full bool) bool {
	if now.Before(oldest.Add(p.min)) && !full {
		return false
	}
	if full && !p.failing {
		return !now.Before(p.last.Add(p.min))
	}
	return !now.Before(p.next)
}

// wrote notes a written object; more says that records of the same time are left.
func (p *pace) wrote(now time.Time, more bool) {
	busy := now.Sub(p.last) < 2*max(p.interval, p.min)
	p.failing = false
	switch {
	case busy && !more:
		p.grow()
	case !busy:
		p.interval = p.min
	}
	p.last = now
	p.next = now.Add(p.jitter(p.interval))
	if more {
		p.next = now.Add(p.jitter(p.min))
	}
}

// failed notes a failed call.
func (p *pace) failed(now time.Time) {
	p.failing = true
	p.grow()
	p.next = now.Add(p.jitter(p.interval))
}

func (p *pace) grow() {
	p.interval = min(p.max, max(p.min, 2*p.interval))
}

// jitter spreads a time over its half above and below.
func (p *pace) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.rand()))
}
