package objectapi

import (
	"errors"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Outcome classifies a call's error for counting.
type Outcome string

// Outcomes of a call.
const (
	OutcomeOK          Outcome = "ok"
	OutcomeConflict    Outcome = "conflict"
	OutcomeNotFound    Outcome = "not-found"
	OutcomeExpired     Outcome = "expired"
	OutcomeUnavailable Outcome = "unavailable"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeInvalid     Outcome = "invalid"
)

// OutcomeOf classifies an error of a Store. An error of no other class is OutcomeUnavailable.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, ErrOutcomeUnknown):
		return OutcomeUnknown
	case errors.Is(err, ErrConflict):
		return OutcomeConflict
	case errors.Is(err, ErrNotFound):
		return OutcomeNotFound
	case errors.Is(err, ErrExpired):
		return OutcomeExpired
	case errors.Is(err, ErrInvalid):
		return OutcomeInvalid
	}
	return OutcomeUnavailable
}

// CallStats are the counts of a Budgeted store.
type CallStats struct {
	// Calls are the calls that were made, by operation, including retries.
	Calls map[Op]uint64
	// Outcomes are the same calls by outcome.
	Outcomes map[Outcome]uint64
	// Refused are the calls that the call budget refused, by operation; they were not made.
	Refused map[Op]uint64
	// Waited is the number of calls that waited for the rate limiter.
	Waited uint64
	// Retries is the number of retries, and RetriesDenied the number that the retry budget did not allow.
	Retries       uint64
	RetriesDenied uint64
	// OpenWatches is the number of watch calls in progress.
	OpenWatches int
}

// Reads returns the number of gets, lists, samples and watches that were made.
func (s CallStats) Reads() uint64 {
	return s.Calls[OpGet] + s.Calls[OpList] + s.Calls[OpSample] + s.Calls[OpWatch]
}

// Writes returns the number of creates, updates and deletes that were made.
func (s CallStats) Writes() uint64 {
	return s.Calls[OpCreate] + s.Calls[OpUpdate] + s.Calls[OpDelete]
}

// callCounts counts calls, also in tally. It is safe for concurrent use.
type callCounts struct {
	scope tally.Scope

	mu    sync.Mutex
	stats CallStats
}

func newCallCounts(scope tally.Scope) *callCounts {
	return &callCounts{scope: scope.SubScope("objectapi"), stats: CallStats{
		Calls:    make(map[Op]uint64),
		Outcomes: make(map[Outcome]uint64),
		Refused:  make(map[Op]uint64),
	}}
}

func (c *callCounts) snapshot() CallStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	out.Calls = copyOf(c.stats.Calls)
	out.Outcomes = copyOf(c.stats.Outcomes)
	out.Refused = copyOf(c.stats.Refused)
	return out
}

func (c *callCounts) countCall(op Op, kind Kind, err error) {
	outcome := OutcomeOf(err)
	c.mu.Lock()
	c.stats.Calls[op]++
	c.stats.Outcomes[outcome]++
	c.mu.Unlock()
	c.scope.Tagged(map[string]string{"op": string(op), "kind": kindTag(kind), "outcome": string(outcome)}).Counter("calls").Inc(1)
}

// kindTag returns the kind without a number at its end, which would make a series of each hour of refusal records.
func kindTag(k Kind) string { return strings.TrimRight(string(k), "-0123456789") }

func (c *callCounts) countRefused(op Op) {
	c.mu.Lock()
	c.stats.Refused[op]++
	c.mu.Unlock()
	c.scope.Tagged(map[string]string{"op": string(op)}).Counter("refused").Inc(1)
}

func (c *callCounts) countWait() {
	c.mu.Lock()
	c.stats.Waited++
	c.mu.Unlock()
	c.scope.Counter("waited").Inc(1)
}

func (c *callCounts) countRetry(allowed bool) {
	name := "retries"
	c.mu.Lock()
	if allowed {
		c.stats.Retries++
	} else {
		c.stats.RetriesDenied++
		name = "retries_denied"
	}
	c.mu.Unlock()
	c.scope.Counter(name).Inc(1)
}

func (c *callCounts) addOpenWatches(n int) {
	c.mu.Lock()
	c.stats.OpenWatches += n
	open := c.stats.OpenWatches
	c.mu.Unlock()
	c.scope.Gauge("open_watches").Update(float64(open))
}

func copyOf[K comparable](in map[K]uint64) map[K]uint64 {
	out := make(map[K]uint64, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
