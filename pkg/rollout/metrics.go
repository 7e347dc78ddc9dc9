package rollout

import (
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// metrics are the counters of the rollout duty.
type metrics struct {
	steps, completed, rolledBack tally.Counter
	unread, failed               tally.Counter
	progressing                  tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("rollout")
	return metrics{
		steps:       s.Counter("steps"),
		completed:   s.Counter("completed"),
		rolledBack:  s.Counter("rolled_back"),
		unread:      s.Counter("counters_unread"),
		failed:      s.Counter("failures"),
		progressing: s.Gauge("progressing"),
	}
}

// entered counts the transition to a state that was stored.
func (m *metrics) entered(s resource.RolloutState) {
	switch s {
	case resource.RolloutCompleted:
		m.completed.Inc(1)
	case resource.RolloutRolledBack:
		m.rolledBack.Inc(1)
	default:
		m.steps.Inc(1)
	}
}
