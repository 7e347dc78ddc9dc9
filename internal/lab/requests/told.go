package requests

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// told is what a caller was told about one piece of work.
type told struct {
	work   work
	result caller.Result
	began  time.Time
	ended  time.Time
}

// late reports whether the answer came after the deadline.
func (t told) late() bool { return t.ended.Sub(t.began) > t.work.deadline }
