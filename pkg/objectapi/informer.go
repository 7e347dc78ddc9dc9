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

// DefaultMinInterval is the least time between two watch calls of an Informer. It bounds the reads of a busy kind,
// whose events then come in batches.
const DefaultMinInterval = 100 * time.Millisecond

// BatchFunc takes the changes of a kind. The first call follows the first list and has its objects; later ones have
// changes. Events are in order of version, which never falls between calls. version is the store version that the
// state after the batch stands for.
type BatchFunc func(events []Event, version uint64)

// InformerConfig holds the settings of an Informer; zero values mean the defaults.
type InformerConfig struct {
	// MinInterval is the least time between two watch calls.
	MinInterval time.Duration
	// Backoff paces the calls after errors.
	Backoff Backoff
	// Logger gets a line when calls begin to fail, when they work again and when a version falls.
	Logger zerolog.Logger
}

// InformerStats are the counts of an Informer.
type InformerStats struct {
	// Lists is the number of answered lists; each after the first is a relist.
	Lists uint64
	// Errors is the number of failed calls.
	Errors uint64
	// Duplicates is the number of events that were left out since they were handed over before.
	Duplicates uint64
	// Regressions is the number of answers that were left out since their version was below one seen before.
	Regressions uint64
	// Version is the version reached.
	Version uint64
}

// Informer follows the objects of a kind: it lists once, watches, and lists again when its version expired.
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

// NewInformer returns an Informer that calls batch from Run's goroutine only.
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

// step makes one call.
func (i *Informer) step(ctx context.Context) error {
	if !i.synced {
		return i.list(ctx)
	}
	return i.watch(ctx)
}

// nextDelay notes the outcome of a step and returns the wait before the next.
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

// setFailing logs the change between working and failing.
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

// list hands over the difference between what is known and what the store holds.
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

// diff turns a list into events: what changed in order of version, then what is gone, at the list's version.
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

// watch hands over the events after the version reached.
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

// deliver moves to the version and hands the events over.
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

// regression is the error of an answer that is older than what was handed over; it is left out.
func (i *Informer) regression(op Op, version uint64) error {
	i.updateStats(func(s *InformerStats) { s.Regressions++ })
	i.cfg.Logger.Warn().Str("op", "inform").Str("kind", string(i.kind)).
		Uint64("version", version).Uint64("reached", i.version).Msg("the object API answered with an older version")
	return NewCallError(op, i.kind, "", "informer", ErrUnavailable, errors.New("answer is older than the version reached"))
}

func (i *Informer) updateStats(f func(*InformerStats)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.stats)
}
