package agentd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// settleTime is how long a target stays joining while others of its service serve: the time after which every process
// has the view that names it, so that the owners of its future rows have announced their flows.
const settleTime = 3 * time.Second

// readiness says when a joining agent may become active.
type readiness struct {
	view func() *view.Service
	self string
	// began is when the agent had its first view.
	began time.Time
	now   func() time.Time
}

func newReadiness(v func() *view.Service, self string) *readiness {
	return &readiness{view: v, self: self, now: time.Now}
}

// ready reports whether the agent has a view, and either no other target serves or the others had time to announce their
// flows. A balancer sends packets to an active agent; without a view it could only drop them.
func (r *readiness) ready() bool {
	v := r.view()
	if v == nil {
		return false
	}
	if r.began.IsZero() {
		r.began = r.now()
	}
	return r.alone(v) || r.now().Sub(r.began) >= settleTime
}

func (r *readiness) alone(v *view.Service) bool {
	for _, t := range v.Targets {
		if t.ID != r.self && t.State != view.StateJoining {
			return false
		}
	}
	return true
}
