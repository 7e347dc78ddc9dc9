package balancerd

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// scriptedCounters returns the next of its answers at each call.
type scriptedCounters struct {
	asked   []string
	answers []peer.CounterReadings
}

func (s *scriptedCounters) Counters(_ context.Context, service string) peer.CounterReadings {
	s.asked = append(s.asked, service)
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a
}

func TestSourceSumsTheVersionsOfTheTargets(t *testing.T) {
	read := func(requests, failures uint64) peer.Reading {
		return peer.Reading{Agent: "a", Incarnation: 1, Version: "v2", Requests: requests, Failures: failures}
	}
	node := &scriptedCounters{answers: []peer.CounterReadings{
		{Asked: 3, Answered: 2, Readings: []peer.Reading{read(7, 0), read(8, 1)}},
		{Asked: 3},
		{Asked: 3, Answered: 3, Readings: []peer.Reading{read(18, 3), read(18, 3), read(17, 3)}},
	}}
	s := newCounterSource(node)
	s.now = func() time.Time { return time.Unix(5, 0) }
	c := resource.ServiceConfig{Name: "route-svc", Spec: resource.ServiceSpec{
		Targets: "route-targets", Rollout: &resource.Rollout{From: "v1", To: "v2"},
	}}
	got, err := s.Read(t.Context(), c)
	require.NoError(t, err)
	require.Zero(t, got)
	_, err = s.Read(t.Context(), c)
	require.ErrorContains(t, err, "none of 3 watchers of route-targets answered")
	got, err = s.Read(t.Context(), c)
	require.NoError(t, err)
	require.Equal(t, rollout.StepCounts{New: rollout.Counts{Requests: 10, Failures: 2}}, got)
	require.Equal(t, "route-targets", node.asked[0])
}
