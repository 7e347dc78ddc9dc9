package requests

import (
	"strconv"
	"sync/atomic"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// recorder counts refusal records and discards them.
type recorder struct{ count atomic.Int64 }

// Record returns a new record ID.
func (r *recorder) Record(refusal.Record) string {
	return "lab-" + strconv.FormatInt(r.count.Add(1), 10)
}
