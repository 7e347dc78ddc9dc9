package requests

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// completion is the result that a caller received for one request.
type completion struct {
	work   work
	result caller.Result
	began  time.Time
	ended  time.Time
}

// late reports whether the response came after the deadline.
func (t completion) late() bool { return t.ended.Sub(t.began) > t.work.deadline }
