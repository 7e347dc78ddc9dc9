package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

var errFuture = errors.New("watch version is above the store's version")

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, kind objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	if err := s.enter(ctx, objectapi.OpWatch, kind, ""); err != nil {
		return nil, 0, err
	}
	end := s.cfg.Now().Add(s.cfg.WatchWait)
	era := s.Era()
	for {
		r := s.poll(kind, from)
		if s.Era() != era {
			return nil, 0, fail(objectapi.OpWatch, kind, "", objectapi.ErrUnavailable, errRestored)
		}
		if r.err != nil {
			return nil, 0, r.err
		}
		left := end.Sub(s.cfg.Now())
		if r.hasEvents || left <= 0 {
			return r.events, r.next, nil
		}
		if r.retry > 0 {
			left = min(left, r.retry)
		}
		if err := s.await(ctx, r.changed, left); err != nil {
			return nil, 0, fail(objectapi.OpWatch, kind, "", objectapi.ErrUnavailable, err)
		}
	}
}

// pollResult holds the events that are due for a watch, or what it has to wait for.
type pollResult struct {
	events []objectapi.Event
	next   uint64
	// hasEvents is set when there is an event after the requested version.
	hasEvents bool
	// retry is the time until a delayed event is due; 0 when there is none.
	retry   time.Duration
	changed <-chan struct{}
	err     error
}

func (s *Store) poll(kind objectapi.Kind, from uint64) pollResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return pollResult{err: fail(objectapi.OpWatch, kind, "", objectapi.ErrUnavailable, errOutage)}
	}
	if from < s.trimmed {
		return pollResult{err: fail(objectapi.OpWatch, kind, "", objectapi.ErrExpired, nil)}
	}
	if from > s.version {
		return pollResult{err: fail(objectapi.OpWatch, kind, "", objectapi.ErrExpired, errFuture)}
	}
	p := pollResult{next: s.version, changed: s.changeChan(kind)}
	hold, now := s.faults.HoldKinds[kind], s.cfg.Now()
	for _, e := range s.history[s.indexAfter(from):] {
		if e.Object.Kind != kind {
			continue
		}
		if due := e.at.Add(hold).Sub(now); due > 0 {
			p.retry = due
			p.next = e.Object.Version - 1
			break
		}
		p.events = append(p.events, cloneEvent(e.Event))
	}
	p.hasEvents = len(p.events) > 0
	if p.hasEvents {
		p.events = append(s.duplicates(kind, from), p.events...)
	}
	return p
}

// duplicates returns the last events up to a version, which the Duplicate fault repeats; s.mu is held.
func (s *Store) duplicates(kind objectapi.Kind, from uint64) []objectapi.Event {
	var out []objectapi.Event
	for i := s.indexAfter(from) - 1; i >= 0 && len(out) < s.faults.Duplicate; i-- {
		if s.history[i].Object.Kind == kind {
			out = append(out, cloneEvent(s.history[i].Event))
		}
	}
	slices.Reverse(out)
	return out
}

// indexAfter returns the index of the first event above a version; s.mu is held.
func (s *Store) indexAfter(version uint64) int {
	i, _ := slices.BinarySearchFunc(s.history, version+1, func(e event, v uint64) int {
		return cmp.Compare(e.Object.Version, v)
	})
	return i
}

// changeChan returns a channel that is closed at the kind's next wake; s.mu is held.
func (s *Store) changeChan(kind objectapi.Kind) <-chan struct{} {
	c, ok := s.changed[kind]
	if !ok {
		c = make(chan struct{})
		s.changed[kind] = c
	}
	return c
}

// await returns nil at a change or after d, or the context's error.
func (s *Store) await(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := make(chan error, 1)
	go func() { timer <- s.cfg.Sleep(ctx, d) }()
	select {
	case <-changed:
		return nil
	case err := <-timer:
		return err
	}
}

func cloneEvent(e objectapi.Event) objectapi.Event {
	e.Object = clone(e.Object)
	return e
}
