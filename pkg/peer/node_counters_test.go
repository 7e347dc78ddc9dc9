package peer

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// highest returns the reading of an agent with the highest request counter.
func highest(list []Reading, agent string) Reading {
	var out Reading
	for _, r := range list {
		if r.Agent == agent && r.Requests >= out.Requests {
			out = r
		}
	}
	return out
}

func TestBalancersReadCountersFromWatchers(t *testing.T) {
	nodes := startNodes(t, 5, nil)
	var requests, failures atomic.Uint64
	counts := func() (uint64, uint64) { return requests.Load(), failures.Load() }
	s := startSession(t, "t0", addrsOf(nodes), func(c *SessionConfig) { c.Counts = counts })
	startSession(t, "other", addrsOf(nodes), func(c *SessionConfig) { c.Self.Service = "reports-svc" })
	for _, n := range nodes {
		eventually(t, "all active", func() bool { return n.countActive() == len(nodes)+2 })
	}
	eventually(t, "zero counters", func() bool { return highest(nodes[0].Counters(t.Context(), "route-svc").Readings, "t0").ZeroAge > 0 })
	requests.Store(40)
	failures.Store(3)
	for _, n := range nodes {
		eventually(t, "counters", func() bool { return highest(n.Counters(t.Context(), "route-svc").Readings, "t0").Requests == 40 })
	}
	got := nodes[4].Counters(t.Context(), "route-svc")
	require.Equal(t, membership.WatcherCount, got.Asked)
	require.Equal(t, got.Asked, got.Answered)
	for _, r := range got.Readings {
		require.Equal(t, "t0", r.Agent, "agents of another service are excluded")
		require.Equal(t, "v1", r.Version)
	}
	requests.Store(41)
	failures.Store(4)
	s.end(t)
	for _, n := range nodes {
		last := highest(n.Counters(t.Context(), "route-svc").Readings, "t0")
		require.EqualValues(t, 41, last.Requests, "an agent that leaves sends its final counters")
		require.EqualValues(t, 4, last.Failures)
	}
}

func TestReadingsNeverFallAndExpire(t *testing.T) {
	r, now := newReadings(), time.Unix(1000, 0)
	m := membership.Member{ID: "t0", Role: membership.RoleAgent, Incarnation: 7, Service: "route-svc", Version: "v2"}
	r.record(&m, 0, 0, now)
	r.record(&m, 9, 2, now.Add(time.Second))
	r.record(&m, 5, 1, now.Add(2*time.Second))
	require.Equal(t, []Reading{{Agent: "t0", Incarnation: 7, Version: "v2", Requests: 9, Failures: 2, ZeroAge: 2 * time.Second}},
		r.of("route-svc", now.Add(2*time.Second)))
	later := m
	later.Incarnation = 8
	r.record(&later, 1, 0, now.Add(readingRetention))
	require.Len(t, r.of("route-svc", now.Add(readingRetention)), 2, "a restart doesn't overwrite the last counters")
	r.expire(now.Add(readingRetention + 3*time.Second))
	require.Equal(t, []Reading{{Agent: "t0", Incarnation: 8, Version: "v2", Requests: 1}}, r.of("route-svc", now.Add(readingRetention)))
	balancer := membership.Member{ID: "b0", Role: membership.RoleBalancer, Incarnation: 1}
	r.record(&balancer, 0, 0, now)
	require.Empty(t, r.of("", now), "balancers have no counters")
}

func TestReadingRoundTrip(t *testing.T) {
	r := Reading{Agent: "t0", Incarnation: 7, Version: "v2", Requests: 9, Failures: 2, ZeroAge: time.Nanosecond}
	got := readingFromProto(readingToProto(r))
	require.Equal(t, time.Millisecond, got.ZeroAge, "an age is rounded up, because zero means none")
	r.ZeroAge = got.ZeroAge
	require.Equal(t, r, got)
}
