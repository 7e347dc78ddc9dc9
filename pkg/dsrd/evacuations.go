package dsrd

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// EvacuationWait is how long the object API lets a watch of the evacuations wait. A watch that has gone silent is found soon after, so that a
// declaration is in force within the 5 s that operators are promised.
const EvacuationWait = 2400 * time.Millisecond

// evacuations reads which data centres operators have evacuated. It runs beside the keeper: the balancer that compares the
// configuration with the object API for all others also watches the evacuations for them. No lock is held during a call.
type evacuations struct {
	store objectapi.Store
	kind  objectapi.Kind
	log   zerolog.Logger
	// wanted reports whether this balancer has to read: nobody has told it yet, or it watches for others.
	wanted func() bool
	// known returns the set in force, adopt takes one that was read.
	known func() evacuation.Set
	adopt func(evacuation.Set)

	// revision is the store version that members stands for, 0 when a whole reading is needed.
	revision uint64
	members  map[string]bool
	// lostUntil is until when evacuations stay in force that an object API which came back older does not name; zero outside of such a time.
	lostUntil time.Time
	// pauseUntil is the time before which nothing is read, failures the number of readings that have failed in a row.
	pauseUntil time.Time
	failures   int
}

// run reads until the context ends.
func (e *evacuations) run(ctx context.Context) error {
	return every(ctx, keeperInterval, func(now time.Time) {
		if !e.wanted() {
			// What changes until this balancer watches again is not heard of.
			e.revision = 0
			return
		}
		if now.Before(e.pauseUntil) {
			return
		}
		if !e.lostUntil.IsZero() && !now.Before(e.lostUntil) {
			e.lostUntil, e.revision = time.Time{}, 0
		}
		e.note(e.read(ctx))
	})
}

// read makes one call.
func (e *evacuations) read(ctx context.Context) error {
	if e.revision == 0 {
		return e.list(ctx)
	}
	return e.watch(ctx)
}

// list reads all evacuations.
func (e *evacuations) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, revision, err := e.store.List(ctx, e.kind)
	if err != nil {
		return err
	}
	e.revision, e.members = revision, make(map[string]bool, len(objects))
	for _, o := range objects {
		e.members[o.Name] = true
	}
	e.adoptMembers()
	return nil
}

// adoptMembers takes what was read into force. Evacuations that a later era of the object API does not name stay for a while: they may have been
// lost, and are written again then.
func (e *evacuations) adoptMembers() {
	read, known := evacuation.FromMembers(e.revision, e.members), e.known()
	if known.Known() && objectapi.EraOf(known.Version) < objectapi.EraOf(e.revision) {
		e.lostUntil = time.Now().Add(objectapi.RestoreGracePeriod)
	}
	both := read.Union(known)
	if e.lostUntil.IsZero() || both.Same(read) {
		e.lostUntil = time.Time{}
		e.adopt(read)
		return
	}
	// Below the version that was read, so that what is stored then replaces it when the wait is over.
	both.Version--
	e.adopt(both)
}

// watch waits for a change. Whatever fails, the next call is a whole reading.
func (e *evacuations) watch(ctx context.Context) error {
	from := e.revision
	e.revision = 0
	events, next, err := e.store.Watch(ctx, e.kind, from)
	if errors.Is(err, objectapi.ErrExpired) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, event := range events {
		if event.Object.Version <= from {
			// Either an event that is repeated, or one that names the version before its change: a whole reading tells.
			return nil
		}
		e.apply(event)
		next = max(next, event.Object.Version)
	}
	e.revision = max(from, next)
	if len(events) > 0 {
		e.adoptMembers()
	}
	return nil
}

func (e *evacuations) apply(event objectapi.Event) {
	if event.Type == objectapi.EventDelete {
		delete(e.members, event.Object.Name)
		return
	}
	e.members[event.Object.Name] = true
}

// note keeps the outcome of a call and logs when calls begin to fail or to work.
func (e *evacuations) note(err error) {
	if err == nil {
		if e.failures > 0 {
			e.log.Warn().Str("op", "read-evacuations").Msg("the evacuations are read again")
		}
		e.failures = 0
		return
	}
	if e.failures == 0 {
		e.log.Warn().Err(err).Str("op", "read-evacuations").Msg("the evacuations cannot be read; the last ones stay in force")
	}
	e.pauseUntil = time.Now().Add(pauseAfter(e.failures))
	e.failures++
}
