package peer

import (
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// readings are the counters that the watched agents sent with their heartbeats.
type readings struct {
	mu   sync.Mutex
	list map[readingKey]*heldReading
}

type readingKey struct {
	agent       string
	incarnation uint64
}

type heldReading struct {
	service, version   string
	requests, failures uint64
	// zero is when the counters were heard at zero last; the zero time when never.
	zero  time.Time
	heard time.Time
}

func newReadings() *readings {
	return &readings{list: make(map[readingKey]*heldReading)}
}

// note takes in the counters of a heartbeat of the member. Counters of one incarnation never fall, so that messages of
// two streams may come in any order.
func (r *readings) note(m *membership.Member, requests, failures uint64, now time.Time) {
	if m.Role != membership.RoleAgent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := readingKey{m.ID, m.Incarnation}
	held, ok := r.list[key]
	if !ok {
		held = &heldReading{}
		r.list[key] = held
	}
	held.service, held.version, held.heard = m.Service, m.Version, now
	held.requests, held.failures = max(held.requests, requests), max(held.failures, failures)
	if held.requests == 0 {
		held.zero = now
	}
}

// of returns the readings of a service.
func (r *readings) of(service string, now time.Time) []Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Reading
	for key, held := range r.list {
		if held.service != service {
			continue
		}
		reading := Reading{
			Agent: key.agent, Incarnation: key.incarnation, Version: held.version,
			Requests: held.requests, Failures: held.failures,
		}
		if !held.zero.IsZero() {
			reading.ZeroAge = max(now.Sub(held.zero), 1)
		}
		out = append(out, reading)
	}
	return out
}

// expire forgets incarnations that were not heard for readingTime.
func (r *readings) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, held := range r.list {
		if now.Sub(held.heard) > readingTime {
			delete(r.list, key)
		}
	}
}
