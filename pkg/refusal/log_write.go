package refusal

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// writeTick is how often the write loop looks whether an object is due.
const writeTick = 250 * time.Millisecond

// writeLoop writes objects at the pace that the store and the number of records allow.
func (l *Log) writeLoop(ctx context.Context) error {
	for {
		if err := pause(ctx, writeTick); err != nil {
			return err
		}
		if l.due() {
			_ = l.writeOnce(ctx) // Counted and logged; the records stay for the next time.
		}
	}
}

// due says whether an object is to be written now.
func (l *Log) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Store == nil {
		return false
	}
	full := l.held.len() >= l.held.limit/2
	if l.writing != nil {
		return l.pace.due(l.cfg.Now(), time.Time{}, full)
	}
	return l.held.len() > 0 && l.pace.due(l.cfg.Now(), l.oldest, full)
}

// Drain writes all own records without the pace, until they are in the store or the context ends.
func (l *Log) Drain(ctx context.Context) error {
	if l.cfg.Store == nil {
		return nil
	}
	backoff := objectapi.Backoff{Rand: l.cfg.Rand}
	for {
		err := l.writeOnce(ctx)
		if err == nil && l.Stats().Held == 0 {
			return nil
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		if pause(ctx, backoff.Next()) != nil {
			return err
		}
	}
}

// writeOnce writes the next object. An object whose outcome is unknown is written again under the same name and found
// there by its content.
func (l *Log) writeOnce(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	o, err := l.nextObject()
	if o == nil || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.WriteTimeout)
	defer cancel()
	_, err = l.cfg.Store.Create(ctx, o.Kind, o.Name, o.Value)
	if errors.Is(err, objectapi.ErrConflict) {
		err = l.readBack(ctx, *o)
	}
	if err != nil {
		l.writeFailed(o, err)
		return err
	}
	l.wrote(ctx, o)
	return nil
}

// readBack finds out whether the object that stands under our name is this batch.
func (l *Log) readBack(ctx context.Context, o objectapi.Object) error {
	got, err := l.cfg.Store.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	if bytes.Equal(got.Value, o.Value) {
		return nil
	}
	l.rename()
	return objectapi.Fail(objectapi.OpCreate, o.Kind, o.Name, l.origin, objectapi.ErrConflict,
		errors.New("another batch stands under this name; two processes share an incarnation"))
}

// rename packs the batch again under the next name.
func (l *Log) rename() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writing != nil {
		l.writing.object = nil
	}
}

// nextObject returns the object to write; nil when there is no record.
func (l *Log) nextObject() (*objectapi.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writing == nil {
		l.closeGeneration()
	}
	if l.writing == nil {
		return nil, nil
	}
	if l.writing.object == nil {
		l.sequence++
		h := header{Format: batchFormat, Process: l.cfg.Process, Incarnation: l.cfg.Incarnation, Sequence: l.sequence}
		if err := l.writing.pack(h); err != nil {
			return nil, err
		}
	}
	o := *l.writing.object
	return &o, nil
}

// closeGeneration takes the held records for writing; l.mu is held.
func (l *Log) closeGeneration() {
	if l.held.len() == 0 {
		return
	}
	entries := l.held.entries
	slices.SortStableFunc(entries, func(a, b entry) int {
		return bucketOf(a.record.Time).Compare(bucketOf(b.record.Time))
	})
	l.writing = &generation{entries: entries, through: l.streams.number}
	l.stats.Merged += l.held.merged
	l.held = newPool(l.held.limit)
	l.streams.renew()
}

// wrote notes a written object and, after the last of a generation, releases the peer's copies.
func (l *Log) wrote(ctx context.Context, o *objectapi.Object) {
	through, whole := l.noteWritten(o)
	if !whole {
		return
	}
	r, ok := l.cfg.Mirror.(Releaser)
	if !ok {
		return
	}
	if err := r.Release(ctx, l.origin, through); err != nil {
		l.cfg.Logger.Debug().Err(err).Str("op", "release").Msg("the peer keeps copies of written refusal records")
	}
}

// noteWritten returns the last stream of the generation, and whether all of it is written.
func (l *Log) noteWritten(o *objectapi.Object) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	written := l.writing.done()
	l.stats.Batches++
	l.stats.WrittenRefusals += sum(written)
	l.counters.batches.Inc(1)
	l.cfg.Logger.Debug().Str("op", "write-refusals").Str("name", o.Name).Int("records", len(written)).
		Int("bytes", len(o.Value)).Msg("refusal records written")
	more := len(l.writing.entries) > 0
	l.pace.wrote(l.cfg.Now(), more)
	if more {
		return 0, false
	}
	through := l.writing.through
	l.writing = nil
	l.queue.dropStreams(l.origin, through)
	l.noteMoved()
	return through, true
}

func (l *Log) writeFailed(o *objectapi.Object, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.WriteErrors++
	l.counters.writeErrors.Inc(1)
	l.pace.failed(l.cfg.Now())
	l.cfg.Logger.Warn().Err(err).Str("op", "write-refusals").Str("name", o.Name).
		Int("held", l.held.len()+len(l.writing.entries)).Msg("refusal records not written, kept")
}

// noteMoved wakes those who wait in Sync; l.mu is held.
func (l *Log) noteMoved() {
	close(l.moved)
	l.moved = make(chan struct{})
}
