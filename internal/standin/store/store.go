package store

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// peerName names the stand-in in errors.
const peerName = "standin-store"

var _ objectapi.Store = (*Store)(nil)

var (
	errRestored = errors.New("store was restored from a snapshot")
	errOutage   = errors.New("outage")
	errRate     = errors.New("rate limit")
	errLost     = errors.New("answer lost")
	errSize     = errors.New("value above MaxValueSize")
)

// key identifies an object.
type key struct {
	kind objectapi.Kind
	name string
}

// event is an event with the time at which it was written.
type event struct {
	objectapi.Event
	at time.Time
}

// Store is an in-memory object API; it is safe for concurrent use.
type Store struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	objects map[key]objectapi.Object
	version uint64
	history []event
	// trimmed is the highest version that the history no longer holds.
	trimmed uint64
	// changed holds the channels that wake closes when a kind gets an event, or the faults or the history change.
	changed map[objectapi.Kind]chan struct{}
	faults  Faults
	limiter *rate.Limiter
	counts  Counts
	applied uint64
}

// New returns an empty store.
func New(cfg Config) *Store {
	cfg = cfg.withDefaults()
	return &Store{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		objects: make(map[key]objectapi.Object),
		changed: make(map[objectapi.Kind]chan struct{}),
		counts:  make(Counts),
		version: Version(cfg.Era, 0),
		trimmed: Version(cfg.Era, 0),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter = nil
	if f.RatePerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(f.RatePerSecond), max(1, int(f.RatePerSecond)))
	}
	for kind := range s.changed {
		s.wake(kind)
	}
}

// ClearHistory removes all events, so that every watch from an earlier version fails with ErrExpired.
func (s *Store) ClearHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.trimmed = s.version
	for kind := range s.changed {
		s.wake(kind)
	}
}

// Counts returns a copy of the call counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(Counts, len(s.counts))
	for op, n := range s.counts {
		out[op] = n
	}
	return out
}

// Applied returns the number of writes that took effect.
func (s *Store) Applied() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if err := s.enter(ctx, objectapi.OpGet, kind, name); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return objectapi.Object{}, fail(objectapi.OpGet, kind, name, objectapi.ErrNotFound, nil)
	}
	return clone(o), nil
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error) {
	if err := s.enter(ctx, objectapi.OpList, kind, ""); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objectapi.Object
	for k, o := range s.objects {
		if k.kind == kind {
			out = append(out, clone(o))
		}
	}
	slices.SortFunc(out, func(a, b objectapi.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out, s.version, nil
}

// Create implements objectapi.Store.
func (s *Store) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return s.write(ctx, objectapi.OpCreate, objectapi.Object{Kind: kind, Name: name, Value: value})
}

// Update implements objectapi.Store.
func (s *Store) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	return s.write(ctx, objectapi.OpUpdate, o)
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, kind objectapi.Kind, name string, version uint64) error {
	_, err := s.write(ctx, objectapi.OpDelete, objectapi.Object{Kind: kind, Name: name, Version: version})
	return err
}

// write applies one write and injects the faults before and after it.
func (s *Store) write(ctx context.Context, op objectapi.Op, o objectapi.Object) (objectapi.Object, error) {
	if err := s.enter(ctx, op, o.Kind, o.Name); err != nil {
		return objectapi.Object{}, err
	}
	if len(o.Value) > objectapi.MaxValueSize {
		return objectapi.Object{}, fail(op, o.Kind, o.Name, objectapi.ErrInvalid, errSize)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chance(s.faults.DropShare) {
		return objectapi.Object{}, fail(op, o.Kind, o.Name, objectapi.ErrOutcomeUnknown, errLost)
	}
	out, err := s.apply(op, o)
	if s.shouldLoseAnswer() {
		return objectapi.Object{}, fail(op, o.Kind, o.Name, objectapi.ErrOutcomeUnknown, errLost)
	}
	if err != nil {
		return objectapi.Object{}, fail(op, o.Kind, o.Name, err, nil)
	}
	return clone(out), nil
}

// apply checks the write's condition and applies it; s.mu is held.
func (s *Store) apply(op objectapi.Op, o objectapi.Object) (objectapi.Object, error) {
	k := key{o.Kind, o.Name}
	old, ok := s.objects[k]
	switch {
	case op == objectapi.OpCreate && ok:
		return o, objectapi.ErrConflict
	case op == objectapi.OpDelete && !ok:
		return o, objectapi.ErrNotFound
	case op != objectapi.OpCreate && old.Version != o.Version, op == objectapi.OpUpdate && !ok:
		return o, objectapi.ErrConflict
	}
	s.applied++
	o = clone(o)
	if op == objectapi.OpDelete {
		return s.put(o, objectapi.EventDelete), nil
	}
	return s.put(o, objectapi.EventPut), nil
}

// publish adds an event to the history and wakes the watches of its kind; s.mu is held.
func (s *Store) publish(e objectapi.Event) {
	s.history = append(s.history, event{Event: e, at: s.cfg.Now()})
	if n := len(s.history) - s.cfg.History; n > 0 {
		s.trimmed = s.history[n-1].Object.Version
	}
	if len(s.history) >= 2*s.cfg.History { // Trimmed in batches, so that not every write moves the history.
		s.history = slices.Delete(s.history, 0, len(s.history)-s.cfg.History)
	}
	s.wake(e.Object.Kind)
}

// wake wakes the watches of a kind; s.mu is held.
func (s *Store) wake(kind objectapi.Kind) {
	if c, ok := s.changed[kind]; ok {
		close(c)
		delete(s.changed, kind)
	}
}

// enter checks the kind and name, counts the call, refuses it if a fault is set and waits for the latency.
func (s *Store) enter(ctx context.Context, op objectapi.Op, kind objectapi.Kind, name string) error {
	err := objectapi.CheckKind(kind)
	if op != objectapi.OpList && op != objectapi.OpWatch {
		err = objectapi.CheckKey(kind, name)
	}
	if err != nil {
		return fail(op, kind, name, objectapi.ErrInvalid, err)
	}
	delay, err := s.admit(op)
	if err != nil {
		return fail(op, kind, name, objectapi.ErrUnavailable, err)
	}
	if delay > 0 {
		err = s.cfg.Sleep(ctx, delay)
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return fail(op, kind, name, objectapi.ErrUnavailable, err)
	}
	return nil
}

// admit counts the call and returns its latency, or the error of the fault that refuses it.
func (s *Store) admit(op objectapi.Op) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[op]++
	if s.faults.Outage {
		return 0, errOutage
	}
	if s.limiter != nil && !s.limiter.AllowN(s.cfg.Now(), 1) {
		return 0, errRate
	}
	d := s.faults.Latency
	if s.faults.Jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.faults.Jitter)))
	}
	return d, nil
}

// chance returns true with probability p; s.mu is held.
func (s *Store) chance(p float64) bool {
	return p > 0 && s.rng.Float64() < p
}

// shouldLoseAnswer reports whether the answer of this write is lost; s.mu is held.
func (s *Store) shouldLoseAnswer() bool {
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.chance(s.faults.LoseShare)
}

// clone copies the object's value, so that clients and the store share no memory.
func clone(o objectapi.Object) objectapi.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}

func fail(op objectapi.Op, kind objectapi.Kind, name string, err, cause error) error {
	return objectapi.NewCallError(op, kind, name, peerName, err, cause)
}
