package revision

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func testSpec(ip string) resource.ServiceSpec {
	return resource.ServiceSpec{
		Addresses:  []resource.Address{{IP: ip, Port: 443, Protocol: resource.ProtocolTCP}},
		Mode:       resource.ModeRequest,
		Preference: resource.PreferFlows,
		Shares:     []resource.Share{{Version: "2026.11.3", Weight: 90}, {Version: "2026.12.0", Weight: 10}},
		Limits:     resource.Limits{Slots: 4, Connections: 2000, Queue: 64, Deadline: resource.Duration(10 * time.Second)},
		DrainTime:  resource.Duration(10 * time.Minute),
		SlowStart:  resource.Duration(30 * time.Second),
	}
}

func testService(name, ip string, version uint64) resource.VersionedService {
	return resource.VersionedService{Service: resource.Service{Name: name, Spec: testSpec(ip)}, Version: version}
}

// manyServices returns n services with distinct addresses.
func manyServices(n int) []resource.VersionedService {
	list := make([]resource.VersionedService, 0, n)
	for i := range n {
		list = append(list, testService(fmt.Sprintf("municipal-service-%03d", i), fmt.Sprintf("10.20.%d.%d", i/250, i%250+1), uint64(i+1)))
	}
	return list
}

func TestCompileWithoutChangeGivesNoRevision(t *testing.T) {
	in := Inputs{Services: manyServices(5)}
	first := Compile(resource.Revision{}, in)
	require.True(t, first.Changed)
	require.EqualValues(t, 1, first.Revision.Number)
	stored, err := Encode(first.Revision)
	require.NoError(t, err)
	previous, err := Decode(stored)
	require.NoError(t, err)
	require.False(t, Compile(previous, in).Changed)
	in.Services[2].Version = 99
	again := Compile(previous, in)
	require.False(t, again.Changed, "rewritten without a change")
	require.EqualValues(t, 99, again.Results[2].AcceptedVersion)
}

func TestCompileKeepsTheLastGoodOne(t *testing.T) {
	good := testService("a", "10.0.0.1", 1)
	bad := testService("a", "", 2)
	unreadable := resource.VersionedService{Service: resource.Service{Name: "a"}, Version: 3, Unreadable: "not JSON"}
	taker := testService("b", "10.0.0.1", 4)
	for _, c := range []struct {
		name     string
		services []resource.VersionedService
		loser    int
		reason   resource.ConditionReason
	}{
		{"invalid", []resource.VersionedService{bad}, 0, resource.ReasonInvalid},
		{"unreadable", []resource.VersionedService{unreadable}, 0, resource.ReasonUnreadable},
		{"address of another", []resource.VersionedService{good, taker}, 1, resource.ReasonAddressConflict},
		{"address kept by an invalid one", []resource.VersionedService{bad, taker}, 1, resource.ReasonAddressConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := Compile(resource.Revision{}, Inputs{Services: []resource.VersionedService{good}})
			next := Compile(first.Revision, Inputs{Services: c.services})
			require.False(t, next.Changed)
			require.Equal(t, first.Revision, next.Revision)
			require.Equal(t, c.reason, next.Results[c.loser].Reason)
			require.NotEmpty(t, next.Results[c.loser].Message)
		})
	}
}

func TestCompileRemovesADeletedService(t *testing.T) {
	first := Compile(resource.Revision{}, Inputs{Services: manyServices(3)})
	next := Compile(first.Revision, Inputs{Services: manyServices(2)})
	require.True(t, next.Changed)
	require.Len(t, next.Revision.Services, 2)
}

func TestRolloutStateSetsTheShares(t *testing.T) {
	s := testService("a", "10.0.0.1", 1)
	s.Spec.Shares = nil
	s.Spec.Rollout = &resource.Rollout{
		From: "old", To: "new", Objective: 0.999, MaxBurnRatio: 2,
		Steps: []resource.RolloutStep{{Weight: 100, Window: resource.Duration(time.Minute)}},
	}
	in := Inputs{Services: []resource.VersionedService{s}}
	first := Compile(resource.Revision{}, in)
	require.EqualValues(t, 0, first.Revision.Services[0].Spec.Shares[1].Weight)
	in.Rollouts = map[string]resource.RolloutStatus{"a": {From: "old", To: "new", Weight: 25}}
	next := Compile(first.Revision, in)
	require.EqualValues(t, 2, next.Revision.Number)
	require.EqualValues(t, 25, next.Revision.Services[0].Spec.Shares[1].Weight)
	require.False(t, Compile(next.Revision, in).Changed)
}

func TestLargeRevisionIsSplit(t *testing.T) {
	s := store.New(store.Config{})
	r := Compile(resource.Revision{}, Inputs{Services: manyServices(680)}).Revision
	name, err := save(t.Context(), s, r, 1000)
	require.NoError(t, err)
	list, _, err := s.List(t.Context(), resource.KindRevision)
	require.NoError(t, err)
	require.Greater(t, len(list), 5)
	head := resource.Head{Revision: 1, Object: name}
	got, err := Load(t.Context(), s, head)
	require.NoError(t, err)
	require.Equal(t, r, got)
	same, err := save(t.Context(), s, r, 1000)
	require.NoError(t, err, "repeated save, as after a lost response")
	require.Equal(t, name, same)
	require.NoError(t, s.Delete(t.Context(), resource.KindRevision, list[3].Name, list[3].Version))
	_, err = Load(t.Context(), s, head)
	require.ErrorIs(t, err, objectapi.ErrNotFound)
}

func TestFullPartFitsTheStore(t *testing.T) {
	values, err := split(1, 7, make([]byte, 2*maxPart), maxPart)
	require.NoError(t, err)
	require.Len(t, values, 2)
	require.LessOrEqual(t, len(values[0]), objectapi.MaxValueSize)
}

func BenchmarkCompile680(b *testing.B) {
	in := Inputs{Services: manyServices(680)}
	previous := Compile(resource.Revision{}, in).Revision
	in.Services[300].Spec.Shares = []resource.Share{{Version: "2026.12.0", Weight: 100}}
	in.Services[300].Version = 1000
	b.ReportAllocs()
	for b.Loop() {
		if !Compile(previous, in).Changed {
			b.Fatal("no change")
		}
	}
}

func BenchmarkEncode680(b *testing.B) {
	r := Compile(resource.Revision{}, Inputs{Services: manyServices(680)}).Revision
	plain, err := resource.Encode(r)
	require.NoError(b, err)
	for b.Loop() {
		packed, err := Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		values, _ := split(1, 7, packed, maxPart)
		b.ReportMetric(float64(len(values[0])), "object-bytes")
	}
	b.ReportMetric(float64(len(plain)), "json-bytes")
}

func BenchmarkDecode680(b *testing.B) {
	packed, err := Encode(Compile(resource.Revision{}, Inputs{Services: manyServices(680)}).Revision)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(packed); err != nil {
			b.Fatal(err)
		}
	}
}

// fixedAcks returns the same count for every revision.
type fixedAcks resource.InForce

func (f fixedAcks) InForce(uint64) resource.InForce { return resource.InForce(f) }

func benchmarkStatusPass(b *testing.B, acks fixedAcks) {
	clock := &steppedClock{now: time.Unix(1, 0)}
	c := Compiler{Store: store.New(store.Config{Now: clock.Now}), Acks: acks, Clock: clock, StatusRate: 1 << 20}
	cfg := c.withDefaults()
	w := newStatusWriter(cfg, lease.Grant{Holder: "a", Term: 1}, cfg.Metrics.Counter("writes"))
	w.setResults(Compile(resource.Revision{}, Inputs{Services: manyServices(680)}), nil)
	for range 3 {
		require.NoError(b, w.write(b.Context()))
	}
	for b.Loop() {
		clock.now = clock.now.Add(statusTick)
		if err := w.write(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// steppedClock is a clock that the test advances.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

func (c *steppedClock) Sleep(context.Context, time.Duration) error { return nil }

func BenchmarkStatusPass680InForce(b *testing.B) {
	benchmarkStatusPass(b, fixedAcks{Adopted: 490, Known: 490})
}

func BenchmarkStatusPass680Spreading(b *testing.B) {
	benchmarkStatusPass(b, fixedAcks{Adopted: 489, Known: 490})
}

func TestRevisionOfLaterEraIsHigher(t *testing.T) {
	previous := Compile(resource.Revision{}, Inputs{Services: manyServices(2)}).Revision
	previous.Number = 45
	next := Compile(previous, Inputs{Services: manyServices(2), EraStart: store.Version(1, 0), Republish: true})
	require.True(t, next.Changed)
	require.Greater(t, next.Revision.Number, uint64(1<<40))
	require.Equal(t, previous.Services, next.Revision.Services)
	after := Compile(next.Revision, Inputs{Services: manyServices(3), EraStart: store.Version(1, 0)})
	require.Equal(t, next.Revision.Number+1, after.Revision.Number)
}

func TestSharesInForceStayWhileRolloutStateIsLost(t *testing.T) {
	s := testService("a", "10.0.0.1", 1)
	s.Spec.Shares = nil
	s.Spec.Rollout = &resource.Rollout{
		From: "old", To: "new", Objective: 0.999, MaxBurnRatio: 2,
		Steps: []resource.RolloutStep{{Weight: 25, Window: resource.Duration(time.Minute)}, {Weight: 100, Window: resource.Duration(time.Minute)}},
	}
	in := Inputs{Services: []resource.VersionedService{s}, EraStart: store.Version(1, 0)}
	in.Rollouts = map[string]resource.RolloutStatus{"a": {From: "old", To: "new", Weight: 25}}
	first := Compile(resource.Revision{}, in).Revision
	lost := Inputs{Services: in.Services, EraStart: store.Version(2, 0)}
	require.False(t, Compile(first, lost).Changed)
	another := s
	another.Spec.Rollout = &resource.Rollout{From: "new", To: "newer", Objective: 0.999, MaxBurnRatio: 2, Steps: s.Spec.Rollout.Steps}
	next := Compile(first, Inputs{Services: []resource.VersionedService{another}, EraStart: store.Version(2, 0)})
	require.True(t, next.Changed, "another rollout begins")
	require.Equal(t, "newer", next.Revision.Services[0].Spec.Shares[1].Version)
	require.Zero(t, next.Revision.Services[0].Spec.Shares[1].Weight)
}
