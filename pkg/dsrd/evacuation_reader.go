package dsrd

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// EvacuationWait is how long a watch of the evacuations waits at the object API. A watch that has become unresponsive
// is detected soon after, so that a declaration is in force within the 5 s that operators are promised.
const EvacuationWait = 2400 * time.Millisecond

// evacuationReader reads the data centres that operators have evacuated. It runs beside configSync: the balancer that
// compares the configuration with the object API for all others also watches the evacuations for them. No lock is
// held during a call.
type evacuationReader struct {
	store objectapi.Store
	kind  objectapi.Kind
	log   zerolog.Logger
	// shouldRead reports whether this balancer has to read: no other has reported them yet, or it watches for others.
	shouldRead func() bool
	// known returns the set in force, adopt applies one that was read.
	known func() evacuation.Set
	adopt func(evacuation.Set)
	// firstRead tells when a balancer that has just started may read.
	firstRead *firstRead

	// revision is the store version of members, 0 when a full read is needed.
	revision uint64
	members  map[string]bool
	// keepUntil is until when evacuations stay in force that a restored object API does not name; zero outside of
	// such a time.
	keepUntil time.Time
	pause     callPause
}

func (e *evacuationReader) run(ctx context.Context) error {
	e.firstRead.await(ctx)
	return every(ctx, syncInterval, func(now time.Time) {
		if !e.shouldRead() {
			// Changes until this balancer watches again are missed.
			e.revision = 0
			return
		}
		if !e.pause.isOver(now) {
			return
		}
		if !e.keepUntil.IsZero() && !now.Before(e.keepUntil) {
			e.keepUntil, e.revision = time.Time{}, 0
		}
		e.recordResult(e.read(ctx))
	})
}

// read makes one call: a full read, or a watch.
func (e *evacuationReader) read(ctx context.Context) error {
	if e.revision == 0 {
		return e.list(ctx)
	}
	return e.watch(ctx)
}

// list reads all evacuations.
func (e *evacuationReader) list(ctx context.Context) error {
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

// adoptMembers applies what was read. Evacuations that a later era of the object API does not name stay in force for
// a while: they may have been lost, and are then written again.
func (e *evacuationReader) adoptMembers() {
	read, known := evacuation.FromMembers(e.revision, e.members), e.known()
	if known.Known() && objectapi.EraOf(known.Version) < objectapi.EraOf(e.revision) {
		e.keepUntil = time.Now().Add(objectapi.RestoreGracePeriod)
	}
	both := read.Union(known)
	if e.keepUntil.IsZero() || both.Equal(read) {
		e.keepUntil = time.Time{}
		e.adopt(read)
		return
	}
	// Below the version that was read, so that the stored set replaces this one when the wait is over.
	both.Version--
	e.adopt(both)
}

// watch waits for a change. After any failure, the next call is a full read.
func (e *evacuationReader) watch(ctx context.Context) error {
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
			// A repeated event, or one that names the version before its change: only a full read can tell.
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

func (e *evacuationReader) apply(event objectapi.Event) {
	if event.Type == objectapi.EventDelete {
		delete(e.members, event.Object.Name)
		return
	}
	e.members[event.Object.Name] = true
}

// recordResult records the result of a call and logs when calls start to fail or to succeed.
func (e *evacuationReader) recordResult(err error) {
	switch e.pause.record(time.Now(), err) {
	case failuresBegan:
		e.log.Warn().Err(err).Str("op", "read-evacuations").Msg("the evacuations cannot be read; the last ones stay in force")
	case failuresEnded:
		e.log.Warn().Str("op", "read-evacuations").Msg("reading evacuations works again")
	}
}
