package balancerd

import (
	"cmp"
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// counters is the part of peer.Node that a counterSource uses.
type counters interface {
	Counters(ctx context.Context, service string) peer.CounterReadings
}

// counterSource is a rollout.Source for one term. It reads counters from the watchers of a service's targets.
type counterSource struct {
	node   counters
	totals map[string]*rollout.Totals
	// now is the local clock; its readings are monotonic.
	now func() time.Time
}

func newCounterSource(n counters) *counterSource {
	return &counterSource{node: n, totals: make(map[string]*rollout.Totals), now: time.Now}
}

// Read implements rollout.Source.
func (s *counterSource) Read(ctx context.Context, c resource.ServiceConfig) (rollout.StepCounts, error) {
	service := cmp.Or(c.Spec.Targets, c.Name)
	got := s.node.Counters(ctx, service)
	if got.Answered == 0 {
		return rollout.StepCounts{}, trace.ConnectionProblem(nil, "none of %d watchers of %s answered", got.Asked, service)
	}
	totals, ok := s.totals[c.Name]
	if !ok {
		totals = rollout.NewTotals()
		s.totals[c.Name] = totals
	}
	totals.Add(readings(got.Readings), s.now())
	r := c.Spec.Rollout
	return rollout.StepCounts{Old: totals.Of(r.From), New: totals.Of(r.To)}, nil
}

func readings(list []peer.Reading) []rollout.Reading {
	out := make([]rollout.Reading, 0, len(list))
	for _, r := range list {
		out = append(out, rollout.Reading{
			Agent: r.Agent, Incarnation: r.Incarnation, Version: r.Version, ZeroAge: r.ZeroAge,
			Counts: rollout.Counts{Requests: r.Requests, Failures: r.Failures},
		})
	}
	return out
}
