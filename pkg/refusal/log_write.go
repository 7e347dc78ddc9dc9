package refusal

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// tickInterval is how often a log checks whether an object is due.
const tickInterval = 250 * time.Millisecond

// tickLoop writes objects when the pacer allows, or releases mirrored records while a peer writes them.
func (l *Log) tickLoop(ctx context.Context) error {
	for {
		if err := wait.For(ctx, tickInterval); err != nil {
			return err
		}
		if l.handsOver() {
			l.releaseMirrored()
		} else if l.isDue() {
			_ = l.writeOnce(ctx) // Counted and logged; the records are kept and retried.
		}
		if l.cfg.Store != nil {
			l.rewriteNextLost(ctx)
		}
	}
}

// handsOver reports whether a peer writes the records of this process.
func (l *Log) handsOver() bool {
	return l.cfg.Store == nil || l.cfg.HandsOver != nil && l.cfg.HandsOver()
}

// isDue reports whether an object is to be written now.
func (l *Log) isDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.held.len() >= l.held.limit/2
	if l.writing != nil {
		return l.pacer.isDue(l.cfg.Now(), time.Time{}, full)
	}
	return l.held.len() > 0 && l.pacer.isDue(l.cfg.Now(), l.oldest, full)
}

// Drain writes all own records without pacing, until they are in the store or the context ends. While a peer writes them,
// it waits until that has them, which needs Run; a peer that does not take them in time leaves them to this process.
func (l *Log) Drain(ctx context.Context) error {
	if l.cfg.Store == nil {
		return nil
	}
	l.drain.Do(func() { close(l.draining) })
	if l.handsOver() && l.syncWithin(ctx, l.cfg.MirrorTimeout) {
		return l.rewriteAllLost(ctx)
	}
	backoff := objectapi.Backoff{Rand: l.cfg.Rand}
	for {
		err := l.writeOnce(ctx)
		if err == nil && l.Stats().Held == 0 {
			return l.rewriteAllLost(ctx)
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		if wait.For(ctx, backoff.Next()) != nil {
			return err
		}
	}
}

// writeOnce writes the next object. An object whose outcome is unknown is written again under the same name and, if
// already stored, recognised by its content.
func (l *Log) writeOnce(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	o, err := l.nextObject()
	if o == nil || err != nil {
		return err
	}
	stored, err := l.store(ctx, *o)
	if errors.Is(err, objectapi.ErrConflict) {
		l.unpack()
	}
	if err != nil {
		l.recordWriteFailure(o, err)
		return err
	}
	o.Version = stored.Version
	l.recordWrite(o)
	return nil
}

// store creates an object, or finds that it is already stored by an earlier attempt with an unknown outcome.
func (l *Log) store(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.WriteTimeout)
	defer cancel()
	stored, err := l.cfg.Store.Create(ctx, o.Kind, o.Name, o.Value)
	if !errors.Is(err, objectapi.ErrConflict) {
		return stored, err
	}
	got, err := l.cfg.Store.Get(ctx, o.Kind, o.Name)
	if err != nil || bytes.Equal(got.Value, o.Value) {
		return got, err
	}
	return objectapi.Object{}, objectapi.NewCallError(objectapi.OpCreate, o.Kind, o.Name, l.origin, objectapi.ErrConflict,
		errors.New("another batch exists under this name; two processes share an incarnation"))
}

// unpack discards the packed object, so that its entries are packed again under the next name.
func (l *Log) unpack() {
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

// closeGeneration moves the held records into a new generation; l.mu is held.
func (l *Log) closeGeneration() {
	if l.held.len() == 0 {
		return
	}
	entries := l.held.all()
	slices.SortStableFunc(entries, func(a, b entry) int {
		return bucketOf(a.record.Time).Compare(bucketOf(b.record.Time))
	})
	l.writing = &generation{entries: entries, lastStream: l.streams.number}
	l.stats.Merged += l.held.merged
	l.held = newPool(l.held.limit)
	l.streams.reset()
}

// recordWrite updates the state after an object was written.
func (l *Log) recordWrite(o *objectapi.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.add(l.cfg.Now(), *o)
	written := l.writing.removeWritten()
	l.stats.Batches++
	l.stats.WrittenRefusals += sum(written)
	l.counters.batches.Inc(1)
	l.cfg.Logger.Debug().Str("op", "write-refusals").Str("name", o.Name).Int("records", len(written)).
		Int("bytes", len(o.Value)).Msg("refusal records written")
	more := len(l.writing.entries) > 0
	l.pacer.recordWrite(l.cfg.Now(), more)
	l.writing.addForeign(l.origin, written)
	if more {
		return
	}
	l.queueReceipts()
	l.writing = nil
	l.notifyProgress()
}

// queueReceipts removes a completely written generation from the mirror queue and queues receipts for the peer; l.mu is
// held.
func (l *Log) queueReceipts() {
	if l.cfg.Mirror == nil {
		return
	}
	done := []receipt{{stream: stream{origin: l.origin, number: l.writing.lastStream}}}
	for s, ordinal := range l.writing.foreignStreams {
		if _, later := l.held.tracks[s]; !later {
			done = append(done, receipt{stream: s, ordinal: ordinal})
		}
	}
	for _, r := range done {
		l.receipts = append(l.receipts, r.record())
	}
	l.queue.removeAllWritten(done)
	l.signal()
}

// releaseMirrored drops records that this process has handed over, after Config.Retain, during which
// MirrorChanged can still send them to another peer.
func (l *Log) releaseMirrored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Mirror == nil || l.queue.len()+l.inCall > 0 || l.cfg.Now().Before(l.retainUntil) {
		return
	}
	l.writing = nil
	l.closeGeneration()
	l.retainUntil = l.cfg.Now().Add(l.cfg.Retain)
}

func (l *Log) recordWriteFailure(o *objectapi.Object, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.WriteErrors++
	l.counters.writeErrors.Inc(1)
	l.pacer.recordFailure(l.cfg.Now())
	l.cfg.Logger.Warn().Err(err).Str("op", "write-refusals").Str("name", o.Name).
		Int("held", l.held.len()+len(l.writing.entries)).Msg("writing refusal records failed; records kept")
}
