package peer

import (
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// readings are the counters that the watched agents sent with their heartbeats.
type readings struct {
	mu            sync.Mutex
	byIncarnation map[readingKey]*storedReading
}

type readingKey struct {
	agent       string
	incarnation uint64
}

type storedReading struct {
	service, version   string
	requests, failures uint64
	// lastZero is when the counters were heard at lastZero last; the lastZero time when never.
	lastZero time.Time
	lastSeen time.Time
}

func newReadings() *readings {
	return &readings{byIncarnation: make(map[readingKey]*storedReading)}
}

// record takes in the counters of a heartbeat of the member. Counters of one incarnation never fall, so that messages of
// two streams may come in any order.
func (r *readings) record(m *membership.Member, requests, failures uint64, now time.Time) {
	if m.Role != membership.RoleAgent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := readingKey{m.ID, m.Incarnation}
	held, ok := r.byIncarnation[key]
	if !ok {
		held = &storedReading{}
		r.byIncarnation[key] = held
	}
	held.service, held.version, held.lastSeen = m.Service, m.Version, now
	held.requests, held.failures = max(held.requests, requests), max(held.failures, failures)
	if held.requests == 0 {
		held.lastZero = now
	}
}

// of returns the readings of a service.
func (r *readings) of(service string, now time.Time) []Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Reading
	for key, held := range r.byIncarnation {
		if held.service != service {
			continue
		}
		reading := Reading{
			Agent: key.agent, Incarnation: key.incarnation, Version: held.version,
			Requests: held.requests, Failures: held.failures,
		}
		if !held.lastZero.IsZero() {
			reading.ZeroAge = max(now.Sub(held.lastZero), 1)
		}
		out = append(out, reading)
	}
	return out
}

// expire forgets incarnations that were not heard for readingTime.
func (r *readings) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, held := range r.byIncarnation {
		if now.Sub(held.lastSeen) > readingRetention {
			delete(r.byIncarnation, key)
		}
	}
}
