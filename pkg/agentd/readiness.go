package agentd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// settleTime is how long a target stays joining while other targets of its service are serving. By then every process
// has a view that lists the target, and the owners of flows in its future rows have notified it of them.
const settleTime = 3 * time.Second

// readiness determines when a joining agent may become active.
type readiness struct {
	view func() *view.Service
	self string
	// began is when isReady first found a view.
	began time.Time
	now   func() time.Time
}

func newReadiness(v func() *view.Service, self string) *readiness {
	return &readiness{view: v, self: self, now: time.Now}
}

// isReady reports whether the agent has a view, and either no other target is serving or settleTime has passed since
// the first view. Balancers send packets to active agents, and an agent without a view could only drop them.
func (r *readiness) isReady() bool {
	v := r.view()
	if v == nil {
		return false
	}
	if r.began.IsZero() {
		r.began = r.now()
	}
	return r.isAlone(v) || r.now().Sub(r.began) >= settleTime
}

func (r *readiness) isAlone(v *view.Service) bool {
	for _, t := range v.Targets {
		if t.ID != r.self && t.State != view.StateJoining {
			return false
		}
	}
	return true
}
