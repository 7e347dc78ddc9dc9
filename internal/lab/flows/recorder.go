package flows

import (
	"slices"
	"strconv"
	"sync"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// recorder keeps refusal records in memory.
type recorder struct {
	mu  sync.Mutex
	all []refusal.Record
}

// Record implements refusal.Recorder.
func (r *recorder) Record(rec refusal.Record) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.ID = strconv.Itoa(len(r.all))
	rec.Count = max(rec.Count, 1)
	r.all = append(r.all, rec)
	return rec.ID
}

func (r *recorder) records() []refusal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}
