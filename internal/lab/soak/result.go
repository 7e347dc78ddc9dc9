package soak

import (
	"fmt"
	"sync"
	"time"
)

// Result is what a run has counted.
type Result struct {
	// Flows is the number of flows that were asked for, Finished those whose every request was answered, Refused those that
	// were reset before they opened, Unopened those that got no answer, Ended those that their target's death ended,
	// Silent those without an answer after every agent was killed at once.
	Flows, Finished, Refused, Unopened, Ended, Silent int
	// Requests is the number of answered requests, Faults that of faults.
	Requests, Faults int
	// Violations are the promises that were broken, the first maxViolations of them.
	Violations []string
	// Broken is the number of broken promises.
	Broken int
}

// String is the last line of a run.
func (r Result) String() string {
	return fmt.Sprintf("flows=%d finished=%d refused=%d unopened=%d ended=%d silent=%d requests=%d faults=%d broken=%d",
		r.Flows, r.Finished, r.Refused, r.Unopened, r.Ended, r.Silent, r.Requests, r.Faults, r.Broken)
}

const maxViolations = 30

// counts collects a Result.
type counts struct {
	mu    sync.Mutex
	began time.Time
	r     Result
}

func (c *counts) add(f func(r *Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.r)
}

// violation notes a broken promise with the time since the start.
func (c *counts) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.Broken++
	if len(c.r.Violations) < maxViolations {
		c.r.Violations = append(c.r.Violations, fmt.Sprintf("%.2fs ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *counts) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r
}
