package dsrd

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// serviceStatusBound is the time within which a change must be stored: the time since the last write, a repeated read and
// a write, each after the longest pause.
const serviceStatusBound = serviceStatusSettleTime + serviceStatusInterval + 5*time.Second

// serviceStatusFixture writes statuses to a fake object API.
type serviceStatusFixture struct {
	*testing.T
	store *store.Store
	scope tally.TestScope

	mu     sync.Mutex
	states map[string]serviceState
	// watching are the writers that watch.
	watching map[string]bool
}

// newServiceStatusFixture must be called in a synctest bubble. It runs one writer for each name; the first one watches.
func newServiceStatusFixture(t *testing.T, writers ...string) *serviceStatusFixture {
	f := &serviceStatusFixture{
		T: t, store: store.New(store.Config{}), scope: tally.NewTestScope("", nil),
		states: make(map[string]serviceState), watching: map[string]bool{writers[0]: true},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, name := range writers {
		w := &serviceStatusWriter{
			store: f.store, log: zerolog.Nop(), scope: f.scope, writer: name, states: f, era: f.store.Era,
			watches: func() bool { return f.watches(name) },
		}
		running.Go(func() { _ = w.run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

func (f *serviceStatusFixture) serviceStates(time.Time) map[string]serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.states)
}

func (f *serviceStatusFixture) watches(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching[name]
}

func (f *serviceStatusFixture) setWatching(name string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching[name] = on
}

func (f *serviceStatusFixture) set(service string, s serviceState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[service] = s
}

// saturate makes the services saturated, with the given priorities refused.
func (f *serviceStatusFixture) saturate(refused []int, services ...string) {
	for _, s := range services {
		f.set(s, serviceState{saturatedSince: time.Now(), refused: refused, capacity: 1234, targets: dispatch.TargetSummary{Ready: 4}})
	}
}

func (f *serviceStatusFixture) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *serviceStatusFixture) status(service string) resource.DSRServiceStatus {
	f.Helper()
	s, err := objectapi.GetTyped[resource.DSRServiceStatus](f.Context(), f.store, resource.KindDSRServiceStatus, service)
	require.NoError(f, err)
	return s.Value
}

// written returns the number of writes by result.
func (f *serviceStatusFixture) written(result string) int64 {
	for _, c := range f.scope.Snapshot().Counters() {
		if c.Tags()["result"] == result {
			return c.Value()
		}
	}
	return 0
}

func TestAServiceStatusIsStoredWhateverTheStoreDoes(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail is called before the state changes.
		fail func(f *serviceStatusFixture)
		// writes is the number of writes that may take effect for two changes.
		writes uint64
	}{
		{"nothing fails", func(*serviceStatusFixture) {}, 2},
		{"slow", func(f *serviceStatusFixture) { f.store.SetFaults(store.Faults{Latency: 700 * time.Millisecond}) }, 2},
		{"down for a while", func(f *serviceStatusFixture) {
			f.store.SetFaults(store.Faults{Outage: true})
			time.AfterFunc(serviceStatusInterval, func() { f.store.SetFaults(store.Faults{}) })
		}, 2},
		{"the answer is lost after the write took effect", func(f *serviceStatusFixture) { f.store.SetFaults(store.Faults{LoseNext: 1}) }, 2},
		{"the write is lost", func(f *serviceStatusFixture) {
			f.store.SetFaults(store.Faults{DropShare: 1})
			time.AfterFunc(serviceStatusInterval, func() { f.store.SetFaults(store.Faults{}) })
		}, 2},
		{"another writer does the same", func(f *serviceStatusFixture) { f.setWatching("second", true) }, 2},
		{"another writer takes over", func(f *serviceStatusFixture) {
			f.setWatching("first", false)
			f.setWatching("second", true)
		}, 2},
		{"an older copy comes back", func(f *serviceStatusFixture) {
			older := f.store.Snapshot()
			time.AfterFunc(2*time.Second, func() { f.store.Restore(older) })
		}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServiceStatusFixture(t, "first", "second")
				f.set("calm", serviceState{capacity: 7, targets: dispatch.TargetSummary{Ready: 2}})
				f.pass(serviceStatusSettleTime + time.Second)
				c.fail(f)
				began := time.Now()
				f.saturate([]int{2, 1}, "busy")
				f.pass(serviceStatusBound)
				s := f.status("busy")
				require.Equal(t, resource.DSRSaturated, s.State)
				require.True(t, began.Equal(s.SaturatedSince))
				require.Equal(t, []int{1, 2}, s.RefusedPriorities)
				require.EqualValues(t, 1200, s.CapacityPerSecond)
				c.fail(f)
				f.set("busy", serviceState{targets: dispatch.TargetSummary{Ready: 4}})
				f.pass(serviceStatusBound)
				s = f.status("busy")
				require.Equal(t, resource.DSREnded, s.State)
				require.True(t, began.Equal(s.SaturatedSince))
				require.False(t, s.Ended.IsZero())
				require.Empty(t, s.RefusedPriorities)
				_, err := f.store.Get(t.Context(), resource.KindDSRServiceStatus, "calm")
				require.ErrorIs(t, err, objectapi.ErrNotFound, "it was never saturated")
				require.LessOrEqual(t, f.store.Applied(), c.writes)
			})
		})
	}
}

func TestAServiceWhoseStateKeepsChangingIsWrittenOnceInSomeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		f.pass(serviceStatusSettleTime + time.Second)
		before := f.store.Counts().Writes()
		for i := range 600 {
			f.saturate([]int{i % 3}, "busy")
			f.pass(100 * time.Millisecond)
		}
		require.LessOrEqual(t, f.store.Counts().Writes()-before, uint64(time.Minute/serviceStatusInterval)+1)
	})
}

func TestFiguresAloneAreNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		f.saturate([]int{2}, "busy")
		f.pass(serviceStatusBound)
		before := f.store.Counts().Writes()
		for i := range 60 {
			f.set("busy", serviceState{saturatedSince: time.Now(), refused: []int{2}, capacity: float64(i), targets: dispatch.TargetSummary{Ready: i}})
			f.pass(time.Second)
		}
		require.Equal(t, before, f.store.Counts().Writes())
	})
}

// After a loss of power all services may be saturated at once.
func TestTheCallsForManyServicesAreSpreadOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		names := make([]string, 680)
		for i := range names {
			names[i] = "s" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		}
		f.saturate([]int{1}, names...)
		f.pass(serviceStatusSettleTime)
		before := f.store.Counts().Writes()
		f.pass(10 * time.Second)
		require.LessOrEqual(t, f.store.Counts().Writes()-before, uint64(10*time.Second/serviceStatusCallInterval)+1)
		f.pass(time.Duration(len(names)) * serviceStatusCallInterval)
		require.EqualValues(t, len(names), f.store.Applied(), "each is written once")
	})
}

func TestABalancerThatDoesNotWatchMakesNoCallForStatuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		f.setWatching("first", false)
		f.saturate([]int{1}, "busy")
		f.pass(time.Minute)
		require.Empty(t, f.store.Counts())
	})
}

func TestWithoutSaturationOneReadIsAllThatStatusesCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		f.set("calm", serviceState{targets: dispatch.TargetSummary{Ready: 2}})
		f.pass(time.Hour)
		require.Equal(t, store.Counts{objectapi.OpList: 1}, f.store.Counts())
	})
}

// A balancer that has just begun to watch knows few agents; it must not end what it has not seen.
func TestANewWriterDoesNotEndASaturationBeforeItKnowsTheAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first", "second")
		f.saturate([]int{1}, "busy")
		f.pass(serviceStatusBound)
		since := f.status("busy").SaturatedSince
		f.setWatching("first", false)
		f.set("busy", serviceState{})
		f.setWatching("second", true)
		f.pass(serviceStatusSettleTime / 2)
		f.saturate([]int{1}, "busy")
		f.pass(serviceStatusBound)
		s := f.status("busy")
		require.Equal(t, resource.DSRSaturated, s.State)
		require.Equal(t, since, s.SaturatedSince)
		require.Equal(t, "first", s.Writer)
	})
}

func TestADeletedStatusOfASaturatedServiceIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		f.saturate([]int{1}, "busy")
		f.pass(serviceStatusBound)
		o, err := f.store.Get(t.Context(), resource.KindDSRServiceStatus, "busy")
		require.NoError(t, err)
		require.NoError(t, f.store.Delete(t.Context(), o.Kind, o.Name, o.Version))
		f.pass(serviceStatusReadInterval + serviceStatusBound)
		require.Equal(t, resource.DSRSaturated, f.status("busy").State)
	})
}

func TestWritesOfStatusesAreCountedByResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first", "second")
		f.setWatching("second", true)
		f.pass(serviceStatusBound)
		f.saturate([]int{1}, "busy")
		f.pass(serviceStatusBound)
		require.EqualValues(t, 1, f.written("written"))
		require.EqualValues(t, 1, f.written("conflict"), "both write at the same time")
		f.store.SetFaults(store.Faults{DropShare: 1})
		f.set("busy", serviceState{})
		f.pass(serviceStatusInterval + time.Second)
		require.Positive(t, f.written("failed"))
	})
}

func TestAServiceWhoseTargetsAreAllAtTheirConnectionLimitIsSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceStatusFixture(t, "first")
		f.set("full", serviceState{targets: dispatch.TargetSummary{Ready: 3, AtConnectionLimit: 3}})
		f.set("nearly", serviceState{targets: dispatch.TargetSummary{Ready: 3, AtConnectionLimit: 2}})
		f.pass(serviceStatusBound)
		s := f.status("full")
		require.Equal(t, resource.DSRSaturated, s.State)
		require.Equal(t, 3, s.TargetsAtConnectionLimit)
		require.False(t, s.SaturatedSince.IsZero())
		require.EqualValues(t, 1, f.store.Applied())
	})
}

func TestFiguresAreRoundedForOperators(t *testing.T) {
	for v, want := range map[float64]float64{0: 0, 1234: 1200, 99.6: 100, 0.318: 0.32, 7: 7, 12.4: 12, 5e-9: 5e-9} {
		require.InDelta(t, want, roundFigure(v), 1e-12)
	}
}

// After a pause of the process another balancer may watch, and what is known of the agents is old.
func TestAWriterThatWasPausedWaitsBeforeItWritesAgain(t *testing.T) {
	w := &serviceStatusWriter{watches: func() bool { return true }}
	now := time.Unix(1000, 0)
	settles := func() {
		t.Helper()
		for passed := time.Duration(0); passed < serviceStatusSettleTime; passed += serviceStatusCallInterval {
			require.False(t, w.mayWrite(now), "after %s", passed)
			now = now.Add(serviceStatusCallInterval)
		}
		require.True(t, w.mayWrite(now))
	}
	settles()
	w.known = true
	now = now.Add(serviceStatusStall + readTimeout + time.Millisecond)
	settles()
	require.False(t, w.known, "the objects are read again")
}
