package refusal

import "time"

// pacer decides when the next object is written. The interval starts at the minimum. It doubles with every failure, and
// with every object that closely follows the previous one and is the last of its generation. This bounds the write rate
// of many processes during long overload or an outage of the store.
type pacer struct {
	min, max time.Duration
	rand     func() float64

	interval time.Duration
	last     time.Time
	next     time.Time
	failing  bool
}

// isDue reports whether to write now. oldest is when the first held record was added; full means that memory fills up.
func (p *pacer) isDue(now, oldest time.Time, full bool) bool {
	if now.Before(oldest.Add(p.min)) && !full {
		return false
	}
	if full && !p.failing {
		return !now.Before(p.last.Add(p.min))
	}
	return !now.Before(p.next)
}

// recordWrite updates the interval after a write; more means that records of the same generation remain.
func (p *pacer) recordWrite(now time.Time, more bool) {
	busy := now.Sub(p.last) < 2*max(p.interval, p.min)
	p.failing = false
	switch {
	case busy && !more:
		p.increaseInterval()
	case !busy:
		p.interval = p.min
	}
	p.last = now
	p.next = now.Add(p.jitter(p.interval))
	if more {
		p.next = now.Add(p.jitter(p.min))
	}
}

func (p *pacer) recordFailure(now time.Time) {
	p.failing = true
	p.increaseInterval()
	p.next = now.Add(p.jitter(p.interval))
}

func (p *pacer) increaseInterval() {
	p.interval = min(p.max, max(p.min, 2*p.interval))
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (p *pacer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.rand()))
}
