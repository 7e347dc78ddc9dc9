package cluster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// delays draws for each process and view how late the process learns of it.
type delays struct {
	mu     sync.Mutex
	random *rand.Rand
	most   time.Duration
}

func newDelays(seed uint64, most time.Duration) *delays {
	return &delays{random: rand.New(rand.NewPCG(seed, 3)), most: most}
}

func (d *delays) draw() time.Duration {
	if d.most == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(d.most)))
}

// wrapView returns a wrapper that holds each view back for a drawn time and keeps their order. Seen is called with each
// view that was handed over; it may be nil.
func wrapView[V any](d *delays, seen func(V)) func(func(V)) func(V) {
	return func(next func(V)) func(V) {
		pass := func(v V) {
			next(v)
			if seen != nil {
				seen(v)
			}
		}
		if d.most == 0 {
			return pass
		}
		h := &holdBack[V]{next: pass, delays: d}
		return h.take
	}
}

// holdBack delays views; a later view replaces an earlier one that has not been handed over.
type holdBack[V any] struct {
	next   func(V)
	delays *delays
	mu     sync.Mutex
	number uint64
	passed uint64
}

func (h *holdBack[V]) take(v V) {
	h.mu.Lock()
	h.number++
	number := h.number
	h.mu.Unlock()
	time.AfterFunc(h.delays.draw(), func() { h.pass(number, v) })
}

func (h *holdBack[V]) pass(number uint64, v V) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number <= h.passed {
		return
	}
	h.passed = number
	h.next(v)
}
