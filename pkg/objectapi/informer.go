package objectapi

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// DefaultMinInterval is the minimum time between two watch calls of an Informer. It bounds the reads of a kind that
// changes often, whose events are then batched.
const DefaultMinInterval = 100 * time.Millisecond

// BatchFunc receives the changes of a kind. The first call has the objects of the first list; later calls have changes.
// Events are in order of version, which never decreases between calls. version is the store version that the state
// after the batch corresponds to.
type BatchFunc func(events []Event, version uint64)

// InformerConfig holds the settings of an Informer; zero values mean the defaults.
type InformerConfig struct {
	// MinInterval is the minimum time between two calls.
	MinInterval time.Duration
	// Backoff is the delay of calls after errors.
	Backoff Backoff
	// Logger records when calls begin to fail, when they succeed again and when a response is older than a previous one.
	Logger zerolog.Logger
}

// InformerStats are the counts of an Informer.
type InformerStats struct {
	// Lists is the number of successful lists; each after the first is a relist.
	Lists uint64
	// Errors is the number of failed calls.
	Errors uint64
	// Duplicates is the number of events that were dropped because they had been delivered before.
	Duplicates uint64
	// Regressions is the number of responses that were dropped because their version was below the version reached.
	Regressions uint64
	// Version is the version reached.
	Version uint64
}

// Informer follows the objects of a kind: it lists once, watches, and lists again when its version has expired.
type Informer struct {
	store Store
	kind  Kind
	cfg   InformerConfig
	batch BatchFunc

	synced  bool
	version uint64
	known   map[string]uint64
	failing bool

	mu    sync.Mutex
	stats InformerStats
}

// NewInformer returns an Informer that calls batch only from the goroutine of Run.
func NewInformer(store Store, kind Kind, cfg InformerConfig, batch BatchFunc) *Informer {
	if cfg.MinInterval == 0 {
		cfg.MinInterval = DefaultMinInterval
	}
	return &Informer{store: store, kind: kind, cfg: cfg, batch: batch, known: make(map[string]uint64)}
}

// WatchKind follows a kind until the context ends and returns the context's error.
func WatchKind(ctx context.Context, store Store, kind Kind, cfg InformerConfig, batch BatchFunc) error {
	return NewInformer(store, kind, cfg, batch).Run(ctx)
}

// Stats returns the counts so far.
func (i *Informer) Stats() InformerStats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stats
}

// Run follows the kind until the context ends and returns the context's error.
func (i *Informer) Run(ctx context.Context) error {
	for {
		err := i.step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := wait.For(ctx, i.nextDelay(err)); err != nil {
			return err
		}
	}
}

// step makes one call: a list until one has succeeded, and then a watch.
func (i *Informer) step(ctx context.Context) error {
	if !i.synced {
		return i.list(ctx)
	}
	return i.watch(ctx)
}

// nextDelay records the outcome of a step and returns the delay before the next one.
func (i *Informer) nextDelay(err error) time.Duration {
	if err == nil {
		i.cfg.Backoff.Reset()
		i.setFailing(false, nil)
		return i.cfg.MinInterval
	}
	i.updateStats(func(s *InformerStats) { s.Errors++ })
	if errors.Is(err, ErrExpired) {
		i.synced = false
	}
	i.setFailing(true, err)
	return i.cfg.Backoff.Next()
}

// setFailing logs transitions between succeeding and failing calls.
func (i *Informer) setFailing(failing bool, err error) {
	if failing == i.failing {
		return
	}
	i.failing = failing
	if failing {
		i.cfg.Logger.Warn().Err(err).Str("op", "inform").Str("kind", string(i.kind)).Msg("object API calls fail")
		return
	}
	i.cfg.Logger.Info().Str("op", "inform").Str("kind", string(i.kind)).Uint64("version", i.version).Msg("object API calls work")
}

// list delivers the difference between the known objects and those in the store.
func (i *Informer) list(ctx context.Context) error {
	items, version, err := i.store.List(ctx, i.kind)
	if err != nil {
		return err
	}
	if version < i.version {
		return i.regression(OpList, version)
	}
	i.updateStats(func(s *InformerStats) { s.Lists++ })
	events := i.diff(items, version)
	i.synced = true
	i.deliver(events, version)
	return nil
}

// diff returns the events that lead to a list: puts in order of version, then deletes at the list's version.
func (i *Informer) diff(items []Object, version uint64) []Event {
	var puts, gone []Event
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
		if o.Version > i.known[o.Name] {
			puts = append(puts, Event{Type: EventPut, Object: o})
		}
	}
	for name := range i.known {
		if !listed[name] {
			o := Object{Kind: i.kind, Name: name, Version: version}
			gone = append(gone, Event{Type: EventDelete, Object: o})
		}
	}
	slices.SortFunc(puts, func(a, b Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	slices.SortFunc(gone, func(a, b Event) int { return cmp.Compare(a.Object.Name, b.Object.Name) })
	return append(puts, gone...)
}

// watch delivers the events after the version reached.
func (i *Informer) watch(ctx context.Context) error {
	events, next, err := i.store.Watch(ctx, i.kind, i.version)
	if err != nil {
		return err
	}
	reached := i.version
	var fresh []Event
	for _, e := range events {
		if e.Object.Version <= reached {
			i.updateStats(func(s *InformerStats) { s.Duplicates++ })
			continue
		}
		reached = e.Object.Version
		fresh = append(fresh, e)
	}
	if next < i.version {
		return i.regression(OpWatch, next)
	}
	if len(fresh) > 0 || next > i.version {
		i.deliver(fresh, max(next, reached))
	}
	return nil
}

// deliver advances to the version and passes the events to the batch function.
func (i *Informer) deliver(events []Event, version uint64) {
	for _, e := range events {
		if e.Type == EventDelete {
			delete(i.known, e.Object.Name)
			continue
		}
		i.known[e.Object.Name] = e.Object.Version
	}
	i.version = version
	i.updateStats(func(s *InformerStats) { s.Version = version })
	i.batch(events, version)
}

// regression returns the error of a response that is older than the version reached. The response is dropped.
func (i *Informer) regression(op Op, version uint64) error {
	i.updateStats(func(s *InformerStats) { s.Regressions++ })
	i.cfg.Logger.Warn().Str("op", "inform").Str("kind", string(i.kind)).
		Uint64("version", version).Uint64("reached", i.version).Msg("the object API answered with an older version")
	return NewCallError(op, i.kind, "", "informer", ErrUnavailable, errors.New("response is older than the version reached"))
}

func (i *Informer) updateStats(f func(*InformerStats)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.stats)
}
