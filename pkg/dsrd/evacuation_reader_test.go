package dsrd

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
)

// evacuationFixture reads evacuations from a fake object API and keeps the set of the highest version, as a balancer
// does.
type evacuationFixture struct {
	*testing.T
	store *store.Store
	mu    sync.Mutex
	set   evacuation.Set
	watch bool
}

// newEvacuationFixture must be called in a synctest bubble.
func newEvacuationFixture(t *testing.T) *evacuationFixture {
	f := &evacuationFixture{T: t, store: store.New(store.Config{WatchWait: EvacuationWait, History: 8}), watch: true}
	first := newFirstRead()
	first.decide(true)
	e := &evacuationReader{
		store: f.store, kind: evacuation.Kind, log: zerolog.Nop(), shouldRead: f.shouldRead, known: f.inForce, adopt: f.adopt, firstRead: first,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *evacuationFixture) shouldRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch || !f.set.Known()
}

func (f *evacuationFixture) adopt(s evacuation.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Replaces(f.set) {
		f.set = s
	}
}

func (f *evacuationFixture) inForce() evacuation.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

func (f *evacuationFixture) dataCentres() []string { return f.inForce().DataCentres }

func (f *evacuationFixture) setWatch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watch = on
}

func (f *evacuationFixture) declare(dataCentre string) uint64 {
	o, err := f.store.Create(f.Context(), evacuation.Kind, dataCentre, []byte("{}"))
	require.NoError(f, err)
	return o.Version
}

func (f *evacuationFixture) withdraw(dataCentre string, version uint64) {
	require.NoError(f, f.store.Delete(f.Context(), evacuation.Kind, dataCentre, version))
}

// pass advances the time and waits until all goroutines are blocked.
func (f *evacuationFixture) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// evacuationBound is the time within which a declaration must be in force.
const evacuationBound = time.Second

func TestEvacuationsAreReadWhateverTheStoreDoes(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after change the store before and after the operator's call.
		before, after func(f *evacuationFixture)
	}{
		{"nothing fails", nil, nil},
		{"slow", func(f *evacuationFixture) { f.store.SetFaults(store.Faults{Latency: 240 * time.Millisecond}) }, nil},
		{"events are repeated", func(f *evacuationFixture) { f.store.SetFaults(store.Faults{Duplicate: 4}) }, nil},
		{"history expires", nil, func(f *evacuationFixture) { f.store.ClearHistory() }},
		{"a short outage follows", nil, func(f *evacuationFixture) {
			f.store.SetFaults(store.Faults{Outage: true})
			f.pass(300 * time.Millisecond)
			f.store.SetFaults(store.Faults{})
		}},
		{"another balancer watched", func(f *evacuationFixture) {
			f.setWatch(false)
			f.pass(time.Second)
		}, func(f *evacuationFixture) { f.setWatch(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newEvacuationFixture(t)
				f.pass(time.Second)
				if c.before != nil {
					c.before(f)
				}
				marka := f.declare("marka")
				f.declare("zarqa")
				if c.after != nil {
					c.after(f)
				}
				f.pass(evacuationBound)
				require.Equal(t, []string{"marka", "zarqa"}, f.dataCentres())
				f.withdraw("marka", marka)
				if c.after != nil {
					c.after(f)
				}
				f.pass(evacuationBound)
				require.Equal(t, []string{"zarqa"}, f.dataCentres())
				f.pass(5 * time.Second)
				require.Equal(t, []string{"zarqa"}, f.dataCentres(), "a withdrawn evacuation does not come back")
			})
		})
	}
}

// A balancer reads until it knows the evacuations; from then on only one that watches for others does.
func TestOnlyTheWatcherReadsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuationFixture(t)
		f.declare("marka")
		f.setWatch(false)
		f.pass(time.Second)
		require.Equal(t, []string{"marka"}, f.dataCentres())
		before := f.store.Counts()
		f.pass(10 * time.Second)
		require.Equal(t, before.Reads(), f.store.Counts().Reads())
		f.setWatch(true)
		f.pass(10 * time.Second)
		require.LessOrEqual(t, f.store.Counts().Reads()-before.Reads(), uint64(1+(10*time.Second+EvacuationWait-1)/EvacuationWait),
			"one call at the start, and one for each watch")
	})
}

func TestALostEvacuationStaysUntilItIsRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuationFixture(t)
		f.pass(time.Second)
		older := f.store.Snapshot()
		f.declare("marka")
		f.pass(time.Second)
		f.store.Restore(older)
		for range 17 {
			f.pass(100 * time.Millisecond)
			require.Equal(t, []string{"marka"}, f.dataCentres())
		}
		f.declare("marka")
		f.pass(10 * time.Second)
		require.Equal(t, []string{"marka"}, f.dataCentres())
	})
}

func TestAnEvacuationIsInForceAtOnceWhileOthersMayBeLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuationFixture(t)
		f.declare("zarqa")
		f.pass(time.Second)
		older := f.store.Snapshot()
		f.declare("marka")
		f.pass(time.Second)
		f.store.Restore(older)
		f.pass(500 * time.Millisecond)
		sahab := f.declare("sahab")
		f.pass(evacuationBound)
		require.Equal(t, []string{"marka", "sahab", "zarqa"}, f.dataCentres())
		f.declare("marka")
		f.pass(50 * time.Millisecond)
		f.withdraw("sahab", sahab)
		f.pass(50 * time.Millisecond)
		require.Equal(t, []string{"marka", "zarqa"}, f.dataCentres(), "nothing is lost any more")
	})
}

func TestALostEvacuationThatIsNotRewrittenEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuationFixture(t)
		f.declare("zarqa")
		f.pass(time.Second)
		older := f.store.Snapshot()
		f.declare("marka")
		f.pass(time.Second)
		f.store.Restore(older)
		f.pass(5 * time.Second)
		require.Equal(t, []string{"zarqa"}, f.dataCentres())
		f.declare("sahab")
		f.pass(evacuationBound)
		require.Equal(t, []string{"sahab", "zarqa"}, f.dataCentres())
	})
}

func TestAWithdrawalThatTheObjectAPIWritesAgainIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuationFixture(t)
		marka := f.declare("marka")
		f.pass(time.Second)
		older := f.store.Snapshot()
		f.withdraw("marka", marka)
		f.pass(time.Second)
		f.store.Restore(older, evacuation.Kind)
		f.pass(evacuationBound)
		require.Empty(t, f.dataCentres())
	})
}

func TestABalancerReadsEvacuationsWhileAnOlderReleaseWatchesThem(t *testing.T) {
	b := testBalancer(t)
	b.eras.Observe(1)
	b.applyReadEvacuations(evacuation.NewSet(store.Version(1, 9), nil))
	require.False(t, b.readsEvacuations(), "another balancer watches")
	now := time.Now()
	b.mu.Lock()
	b.receiveEvacuations(now, &dsrpb.Evacuations{Version: store.Version(1, 12), DataCentres: []string{"marka"}})
	b.mu.Unlock()
	require.False(t, b.readsEvacuations())
	require.Equal(t, []string{"marka"}, b.knownEvacuations().DataCentres)
	b.mu.Lock()
	b.receiveEvacuations(now, &dsrpb.Evacuations{Version: 900})
	b.mu.Unlock()
	require.True(t, b.readsEvacuations(), "its report has no era")
	require.Equal(t, []string{"marka"}, b.knownEvacuations().DataCentres)
}
