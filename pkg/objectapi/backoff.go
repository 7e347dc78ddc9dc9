package objectapi

import (
	"math/rand/v2"
	"time"
)

// Default times of a Backoff.
const (
	DefaultBackoffMin = 100 * time.Millisecond
	DefaultBackoffMax = 10 * time.Second
)

// Backoff computes exponentially growing delays with jitter; zero values mean the defaults. It is not safe for
// concurrent use.
type Backoff struct {
	// Min is the first delay and Max the highest, before jitter.
	Min time.Duration
	Max time.Duration
	// Rand returns a number in [0, 1); the default is math/rand.
	Rand func() float64

	next time.Duration
}

// Next returns the next delay: a random time between a half and the whole of the current backoff.
func (b *Backoff) Next() time.Duration {
	b.defaults()
	d := max(b.next, b.Min)
	b.next = min(2*d, b.Max)
	return time.Duration(float64(d) * (0.5 + 0.5*b.Rand()))
}

// Reset starts again from the first delay.
func (b *Backoff) Reset() {
	b.next = 0
}

func (b *Backoff) defaults() {
	if b.Min == 0 {
		b.Min = DefaultBackoffMin
	}
	if b.Max == 0 {
		b.Max = DefaultBackoffMax
	}
	if b.Rand == nil {
		b.Rand = rand.Float64
	}
}
