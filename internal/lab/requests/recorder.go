package requests

import (
	"strconv"
	"sync/atomic"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// recorder counts the refusal records.
type recorder struct{ count atomic.Int64 }

// Record returns an ID.
func (r *recorder) Record(refusal.Record) string {
	return "lab-" + strconv.FormatInt(r.count.Add(1), 10)
}
