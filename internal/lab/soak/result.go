package soak

import (
	"fmt"
	"sync"
	"time"
)

// Result holds the counts of a run.
type Result struct {
	// Flows is the number of flows started, Finished those of which every request was answered, Refused those that were
	// reset before they opened, Unopened those without an answer to the opening packets, Ended those that ended early
	// without a known running owner, Silent those without an answer after all agents were killed at once.
	Flows, Finished, Refused, Unopened, Ended, Silent int
	// Requests is the number of answered requests, Faults that of injected faults.
	Requests, Faults int
	// Violations describes the violated guarantees, at most the first maxViolations.
	Violations []string
	// TotalViolations is the number of all violations.
	TotalViolations int
}

// String formats the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("flows=%d finished=%d refused=%d unopened=%d ended=%d silent=%d requests=%d faults=%d broken=%d",
		r.Flows, r.Finished, r.Refused, r.Unopened, r.Ended, r.Silent, r.Requests, r.Faults, r.TotalViolations)
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

// violation records a violated guarantee with the time since the start.
func (c *counts) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.TotalViolations++
	if len(c.r.Violations) < maxViolations {
		c.r.Violations = append(c.r.Violations, fmt.Sprintf("%.2fs ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *counts) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r
}
