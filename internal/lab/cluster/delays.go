package cluster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// delays draws a random delay for each view that is delivered to a process.
type delays struct {
	mu       sync.Mutex
	random   *rand.Rand
	maxDelay time.Duration
}

func newDelays(seed uint64, maxDelay time.Duration) *delays {
	return &delays{random: rand.New(rand.NewPCG(seed, 3)), maxDelay: maxDelay}
}

func (d *delays) draw() time.Duration {
	if d.maxDelay == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(d.maxDelay)))
}

// wrapView returns a wrapper that delays each view by a random time and never delivers an older view after a newer one.
// seen, which may be nil, is called with each delivered view.
func wrapView[V any](d *delays, seen func(V)) func(func(V)) func(V) {
	return func(next func(V)) func(V) {
		pass := func(v V) {
			next(v)
			if seen != nil {
				seen(v)
			}
		}
		if d.maxDelay == 0 {
			return pass
		}
		h := &delayer[V]{next: pass, delays: d}
		return h.schedule
	}
}

// delayer delivers views after a delay; a view is dropped if a later one was delivered first.
type delayer[V any] struct {
	next      func(V)
	delays    *delays
	mu        sync.Mutex
	number    uint64
	delivered uint64
}

func (h *delayer[V]) schedule(v V) {
	h.mu.Lock()
	h.number++
	number := h.number
	h.mu.Unlock()
	time.AfterFunc(h.delays.draw(), func() { h.deliver(number, v) })
}

func (h *delayer[V]) deliver(number uint64, v V) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number <= h.delivered {
		return
	}
	h.delivered = number
	h.next(v)
}
