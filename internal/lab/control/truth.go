package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/revision"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// truth is the store of a run. It records the writes that took effect, in that order. It drops responses and delays
// calls itself, so that the effect of a write whose response is dropped is recorded too.
type truth struct {
	inner *store.Store

	mu     sync.Mutex
	random *rand.Rand
	// loseShare is the probability that a write's response is dropped.
	loseShare float64
	// latency and jitter delay every call.
	latency, jitter time.Duration
	// onAdvance, when not nil, is called once, with mu held, right after the head has advanced.
	onAdvance func(number uint64)

	parts    map[string]objectapi.Object
	heads    []headWrite
	services []serviceWrite
	statuses []statusWrite
	lease    lease.Record
	// late describes writes of the head by a former lease holder that took effect after a later one had claimed the head.
	late []string
}

// headWrite is one write of the head, with the content and the checksum of its revision.
type headWrite struct {
	began, done time.Time
	head        resource.Head
	revision    resource.Revision
	sum         uint64
}

type serviceWrite struct {
	at      time.Time
	version uint64
	change  uint32
	service resource.Service
}

type statusWrite struct {
	at     time.Time
	status resource.ServiceStatus
}

func newTruth(seed uint64) *truth {
	return &truth{
		inner:  store.New(store.Config{Seed: seed, WatchWait: watchWait}),
		random: rand.New(rand.NewPCG(seed, 1)),
		parts:  make(map[string]objectapi.Object),
	}
}

// watchWait is how long the store holds a watch without events.
const watchWait = 10 * time.Second

// delay waits for the configured latency with random jitter.
func (t *truth) delay(ctx context.Context) {
	t.mu.Lock()
	d := t.latency
	if t.jitter > 0 {
		d += time.Duration(t.random.Int64N(int64(t.jitter)))
	}
	t.mu.Unlock()
	_ = wait.For(ctx, d)
}

// Get implements objectapi.Store, as do the methods that follow.
func (t *truth) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	t.delay(ctx)
	return t.inner.Get(ctx, k, name)
}

func (t *truth) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	t.delay(ctx)
	return t.inner.List(ctx, k)
}

func (t *truth) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	t.delay(ctx)
	return t.inner.Watch(ctx, k, from)
}

func (t *truth) Create(ctx context.Context, k objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return t.write(ctx, func() (objectapi.Object, error) { return t.inner.Create(ctx, k, name, value) })
}

func (t *truth) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	return t.write(ctx, func() (objectapi.Object, error) { return t.inner.Update(ctx, o) })
}

func (t *truth) Delete(ctx context.Context, k objectapi.Kind, name string, version uint64) error {
	t.delay(ctx)
	return t.inner.Delete(ctx, k, name, version)
}

// write makes one write and records its effect before the response is returned.
func (t *truth) write(ctx context.Context, call func() (objectapi.Object, error)) (objectapi.Object, error) {
	t.delay(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	began := time.Now()
	o, err := call()
	if err != nil {
		return o, err
	}
	notified := t.record(o, began)
	if !notified && t.random.Float64() < t.loseShare {
		return objectapi.Object{}, objectapi.NewCallError(objectapi.OpUpdate, o.Kind, o.Name, "lab", objectapi.ErrOutcomeUnknown, nil)
	}
	return o, nil
}

// record stores the effect of a write and reports whether it called t.onAdvance; t.mu is held.
func (t *truth) record(o objectapi.Object, began time.Time) bool {
	now := time.Now()
	switch o.Kind {
	case resource.KindRevision:
		t.parts[o.Name] = o
	case resource.KindService:
		v := resource.ReadService(o)
		t.services = append(t.services, serviceWrite{at: now, version: o.Version, change: v.Spec.Limits.Queue, service: v.Service})
	case resource.KindServiceStatus:
		t.recordStatus(o, now)
	case resource.KindLease:
		if o.Name == revision.LeaseName {
			_ = json.Unmarshal(o.Value, &t.lease)
		}
	case resource.KindHead:
		return t.recordHead(o, began, now)
	}
	return false
}

func (t *truth) recordStatus(o objectapi.Object, now time.Time) {
	var s resource.ServiceStatus
	if json.Unmarshal(o.Value, &s) != nil {
		return
	}
	t.statuses = append(t.statuses, statusWrite{at: now, status: s})
}

func (t *truth) recordHead(o objectapi.Object, began, now time.Time) bool {
	var h resource.Head
	if json.Unmarshal(o.Value, &h) != nil {
		return false
	}
	w := headWrite{began: began, done: now, head: h}
	r, err := revision.Load(context.Background(), partsOf{parts: t.parts}, h)
	if err == nil {
		w.revision, w.sum = r, sumOfRevision(r)
	}
	var before headWrite
	if len(t.heads) > 0 {
		before = t.heads[len(t.heads)-1]
	}
	if h.Term < before.head.Term {
		t.late = append(t.late, "head written by "+h.Holder+" after "+before.head.Holder+" had claimed it")
	}
	t.heads = append(t.heads, w)
	if t.onAdvance == nil || h.Revision <= before.head.Revision {
		return false
	}
	onAdvance := t.onAdvance
	t.onAdvance = nil
	onAdvance(h.Revision)
	return true
}

// partsOf is a store that implements only Get, for the recorded revision objects.
type partsOf struct {
	objectapi.Store
	parts map[string]objectapi.Object
}

func (p partsOf) Get(_ context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	if o, ok := p.parts[name]; ok {
		return o, nil
	}
	return objectapi.Object{}, objectapi.NewCallError(objectapi.OpGet, k, name, "lab", objectapi.ErrNotFound, nil)
}

func (t *truth) stored(change uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.change == change {
			return true
		}
	}
	return false
}

// holder returns the last written record of the compile lease.
func (t *truth) holder() lease.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease
}

// set calls change with the lock held, to change latency, jitter, loseShare or onAdvance.
func (t *truth) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// head returns the revision number of the head, or 0 before its first write.
func (t *truth) head() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.heads) == 0 {
		return 0
	}
	return t.heads[len(t.heads)-1].head.Revision
}
