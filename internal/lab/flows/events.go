package flows

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// events prints and records the events of a run, one line each.
type events struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	// killedTargets holds the kill time by target.
	killedTargets map[string]time.Time
	// drained holds the start of the drain by target.
	drained map[string]time.Time
	// kills are the times at which balancers and agents were killed.
	kills []time.Time
	// failures are the errors of faults that could not be injected.
	failures []error
}

func newEvents(out io.Writer) *events {
	return &events{out: out, start: time.Now(), killedTargets: map[string]time.Time{}, drained: map[string]time.Time{}}
}

// printf prints one line with the time since the start.
func (e *events) printf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.line(format, args...)
}

func (e *events) line(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, "%7.2fs  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

func (e *events) targetKilled(id, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killedTargets[id] = time.Now()
	e.line("%s of %s killed", how, id)
}

func (e *events) targetDrained(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained[id] = time.Now()
	e.line("target %s draining", id)
}

func (e *events) killed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kills = append(e.kills, time.Now())
}

func (e *events) failed(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = append(e.failures, err)
	e.line("fault injection failed: %v", err)
}
