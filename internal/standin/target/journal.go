package target

import (
	"slices"
	"sync"
	"time"
)

// Run is the record of one request to PathWork.
type Run struct {
	// ID is the caller's ID of the work.
	ID string
	// Target is the ID of the target that ran it.
	Target string
	// Start and End are when it ran.
	Start, End time.Time
	// Cancelled is true when the caller or agent cancelled it.
	Cancelled bool
	// Failed is true when the target answered with status 500 after running it.
	Failed bool
}

// Journal records the work that targets ran, independently of what callers were answered; several targets may share one.
type Journal struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns a copy of the recorded runs.
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
