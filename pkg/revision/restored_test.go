package revision

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// restoredCluster is a store and balancers that compete for the compile duty and follow the head.
type restoredCluster struct {
	t     *testing.T
	store *store.Store
	ctx   context.Context

	mu       sync.Mutex
	adopters []*Adopter
}

func newRestoredCluster(ctx context.Context, t *testing.T, era uint64) *restoredCluster {
	return &restoredCluster{t: t, ctx: ctx, store: store.New(store.Config{Era: era, WatchWait: time.Second})}
}

// Highest implements Peers: the revisions of all balancers.
func (w *restoredCluster) Highest(context.Context, uint64) ([]resource.Revision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []resource.Revision
	for _, a := range w.adopters {
		if r, known := a.Current(); known {
			out = append(out, r)
		}
	}
	return out, nil
}

// start starts a balancer and returns its adopter.
func (w *restoredCluster) start(name string) *Adopter { return w.startUntil(w.ctx, name) }

// startUntil starts a balancer that runs until ctx ends.
func (w *restoredCluster) startUntil(ctx context.Context, name string) *Adopter {
	a := NewAdopter(zerolog.Nop())
	w.mu.Lock()
	w.adopters = append(w.adopters, a)
	w.mu.Unlock()
	c := &Compiler{Store: w.store, Adopter: a, Log: zerolog.Nop()}
	r := &lease.Runner{Store: w.store, Config: lease.Config{Name: LeaseName, Holder: name, Duration: 3 * time.Second}, Log: zerolog.Nop()}
	f := &Follower{Store: w.store, Peers: w, Adopter: a}
	go func() { _ = r.Run(ctx, c.Duty) }()
	go func() { _ = f.Run(ctx) }()
	return a
}

// putQueue stores the service with a queue limit.
func (w *restoredCluster) putQueue(queue uint32) {
	v := testService("a", "10.0.0.1", 0).Service
	v.Spec.Limits.Queue = queue
	putService(w.t, w.store, v)
}

// queueOf returns the queue limit that a balancer has in force; 0 when it has no service.
func queueOf(a *Adopter) uint32 {
	r, _ := a.Current()
	if len(r.Services) == 0 {
		return 0
	}
	return r.Services[0].Spec.Limits.Queue
}

// inRestoredCluster runs f in virtual time, with a store that has eras from the start and with one that does not.
func inRestoredCluster(t *testing.T, f func(t *testing.T, w *restoredCluster)) {
	for _, era := range []uint64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				time.Sleep(time.Minute)
			}()
			f(t, newRestoredCluster(ctx, t, era))
		})
	}
}

func TestChangeIsInForceAfterHeadIsRestored(t *testing.T) {
	inRestoredCluster(t, func(t *testing.T, w *restoredCluster) {
		a, b := w.start("a"), w.start("b")
		w.putQueue(1)
		time.Sleep(5 * time.Second)
		older := w.store.Snapshot()
		for q := range uint32(4) {
			w.putQueue(2 + q)
			time.Sleep(2 * time.Second)
		}
		require.EqualValues(t, 5, queueOf(b))
		w.store.Restore(older, resource.KindService)
		w.putQueue(9)
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 9, queueOf(a))
		require.EqualValues(t, 9, queueOf(b))
		c := w.start("c")
		time.Sleep(time.Second)
		require.EqualValues(t, 9, queueOf(c), "a balancer started after the restore")
	})
}

func TestServiceRewrittenAfterRestoreDoesNotRevert(t *testing.T) {
	inRestoredCluster(t, func(t *testing.T, w *restoredCluster) {
		a := w.start("a")
		w.putQueue(1)
		time.Sleep(5 * time.Second)
		older := w.store.Snapshot()
		w.putQueue(2)
		time.Sleep(2 * time.Second)
		a.OnAdopt(func(r resource.Revision) {
			require.EqualValues(t, 2, r.Services[0].Spec.Limits.Queue)
		})
		w.store.Restore(older)
		time.Sleep(1500 * time.Millisecond)
		w.putQueue(2)
		time.Sleep(6 * time.Second)
		require.EqualValues(t, 2, queueOf(a))
	})
}

func TestDutyResumesFromAdoptedRevisionWhenHeadIsBehind(t *testing.T) {
	s := store.New(store.Config{Era: 1})
	grant := lease.Grant{Holder: "a", Term: store.Version(1, 1)}
	first := startSession(t, s, grant)
	putService(t, s, testService("a", "10.0.0.1", 0).Service)
	require.NoError(t, first.round(t.Context()))
	older := s.Snapshot()
	putService(t, s, testService("b", "10.0.0.2", 0).Service)
	require.NoError(t, first.round(t.Context()))
	adopter := NewAdopter(zerolog.Nop())
	require.True(t, adopter.Offer(first.current, SourceHead))
	s.Restore(older)
	later, err := newSession(t.Context(), (&Compiler{Store: s, Adopter: adopter, Log: zerolog.Nop()}).withDefaults(), lease.Grant{Holder: "b", Term: store.Version(2, 1)})
	require.NoError(t, err)
	require.Equal(t, adopter.Number(), later.current.Number)
	require.Len(t, later.current.Services, 2)
	require.True(t, later.lacksEraRevision())
}

// restoredSeeds is the number of random runs.
const restoredSeeds = 40

// restoredRun is one run with random restores, outages, lost responses and restarts.
type restoredRun struct {
	*restoredCluster
	random *rand.Rand
	queue  uint32
	stops  []context.CancelFunc

	queuesMu sync.Mutex
	// queues are the queue limits in the adopted revisions, by number.
	queues map[uint64]uint32
}

// begin starts a balancer and checks each revision that it adopts.
func (r *restoredRun) begin(name string) {
	ctx, stop := context.WithCancel(r.ctx)
	a := r.startUntil(ctx, name)
	r.stops = append(r.stops, stop)
	var last uint32
	a.OnAdopt(func(v resource.Revision) {
		q := uint32(0)
		if len(v.Services) > 0 {
			q = v.Services[0].Spec.Limits.Queue
		}
		require.GreaterOrEqual(r.t, q, last, "balancer %s reverts", name)
		last = q
		r.queuesMu.Lock()
		defer r.queuesMu.Unlock()
		if known, ok := r.queues[v.Number]; ok {
			require.Equal(r.t, known, q, "two revisions have the number %d", v.Number)
		}
		r.queues[v.Number] = q
	})
}

// restart stops a random balancer and starts one without state in its place.
func (r *restoredRun) restart(n int) {
	i := r.random.IntN(len(r.stops))
	r.stops[i]()
	r.stops = slices.Delete(r.stops, i, i+1)
	r.mu.Lock()
	r.adopters = slices.Delete(r.adopters, i, i+1)
	r.mu.Unlock()
	r.begin("b" + strconv.Itoa(n))
}

// change stores the next queue limit.
func (r *restoredRun) change() {
	r.queue++
	r.write()
}

// write stores the last queue limit, with retries until it succeeds.
func (r *restoredRun) write() {
	v := testService("a", "10.0.0.1", 0).Service
	v.Spec.Limits.Queue = r.queue
	b, err := resource.Encode(v)
	require.NoError(r.t, err)
	for {
		o, err := r.store.Get(r.ctx, resource.KindService, v.Name)
		if err != nil {
			o = objectapi.Object{Kind: resource.KindService, Name: v.Name}
		}
		o.Value = b
		if _, err := lease.Put(r.ctx, r.store, o); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// restore makes the store unavailable and restores it from a copy. The service is either kept or written again within
// RestoreGracePeriod.
func (r *restoredRun) restore(older store.Snapshot) {
	r.store.SetFaults(store.Faults{Outage: true})
	time.Sleep(time.Duration(r.random.IntN(1500)) * time.Millisecond)
	if r.random.IntN(2) == 0 {
		r.store.Restore(older, resource.KindService)
		r.store.SetFaults(store.Faults{})
		return
	}
	r.store.Restore(older)
	r.store.SetFaults(store.Faults{})
	time.Sleep(time.Duration(r.random.IntN(1500)) * time.Millisecond)
	r.write()
}

func (r *restoredRun) run() {
	for n := range 3 {
		r.begin("a" + strconv.Itoa(n))
	}
	r.change()
	time.Sleep(5 * time.Second)
	older := r.store.Snapshot()
	for n := range 60 {
		switch r.random.IntN(8) {
		case 0:
			r.restore(older)
			older = r.store.Snapshot()
		case 1:
			older = r.store.Snapshot()
		case 2:
			r.restart(n)
		case 3:
			r.store.SetFaults(store.Faults{LoseShare: 0.3, DropShare: 0.1})
		case 4:
			r.store.SetFaults(store.Faults{})
		default:
			r.change()
		}
		time.Sleep(time.Duration(r.random.IntN(2000)) * time.Millisecond)
	}
	r.store.SetFaults(store.Faults{})
	r.change()
	time.Sleep(15 * time.Second)
	for i, a := range r.adopters {
		require.Equal(r.t, r.queue, queueOf(a), "balancer %d", i)
	}
}

func TestNoRevertAndNoLossUnderRandomRestores(t *testing.T) {
	for seed := range uint64(restoredSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer func() {
					stop()
					time.Sleep(time.Minute)
				}()
				r := &restoredRun{
					restoredCluster: newRestoredCluster(ctx, t, seed%2),
					random:          rand.New(rand.NewPCG(seed, 1)),
					queues:          make(map[uint64]uint32),
				}
				r.run()
			})
		})
	}
}
