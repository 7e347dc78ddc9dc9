package peer

import (
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// readings holds the counters that agents reported with their heartbeats.
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
	// lastZero is when a zero request counter was last received; the zero time when never.
	lastZero time.Time
	lastSeen time.Time
}

func newReadings() *readings {
	return &readings{byIncarnation: make(map[readingKey]*storedReading)}
}

// record records the counters of a heartbeat of the member. It keeps the highest values, because heartbeats of two
// streams of one incarnation may arrive out of order.
func (r *readings) record(m *membership.Member, requests, failures uint64, now time.Time) {
	if m.Role != membership.RoleAgent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := readingKey{m.ID, m.Incarnation}
	stored, ok := r.byIncarnation[key]
	if !ok {
		stored = &storedReading{}
		r.byIncarnation[key] = stored
	}
	stored.service, stored.version, stored.lastSeen = m.Service, m.Version, now
	stored.requests, stored.failures = max(stored.requests, requests), max(stored.failures, failures)
	if stored.requests == 0 {
		stored.lastZero = now
	}
}

// of returns the readings of a service's agents, with ages relative to now.
func (r *readings) of(service string, now time.Time) []Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Reading
	for key, stored := range r.byIncarnation {
		if stored.service != service {
			continue
		}
		reading := Reading{
			Agent: key.agent, Incarnation: key.incarnation, Version: stored.version,
			Requests: stored.requests, Failures: stored.failures,
		}
		if !stored.lastZero.IsZero() {
			reading.ZeroAge = max(now.Sub(stored.lastZero), 1)
		}
		out = append(out, reading)
	}
	return out
}

// expire removes incarnations that were last seen more than readingRetention ago.
func (r *readings) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, stored := range r.byIncarnation {
		if now.Sub(stored.lastSeen) > readingRetention {
			delete(r.byIncarnation, key)
		}
	}
}
