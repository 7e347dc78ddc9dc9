package target

import (
	"slices"
	"sync"
	"time"
)

// Run is the true account of one request for work.
type Run struct {
	// ID is the caller's name for the work.
	ID string
	// Target names the target that ran it.
	Target string
	// Start and End are when it ran.
	Start, End time.Time
	// Cancelled is true when the caller or agent cancelled it.
	Cancelled bool
	// Failed is true when the target answered with an error after it ran.
	Failed bool
}

// Journal keeps what truly ran; several targets may share one.
type Journal struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns a copy of the account.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs)
}

// start adds a run and returns its index.
func (j *Journal) start(r Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}

func (j *Journal) end(i int, now time.Time, cancelled, failed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &j.runs[i]
	r.End, r.Cancelled, r.Failed = now, cancelled, failed
}
