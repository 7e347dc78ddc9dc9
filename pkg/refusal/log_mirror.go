package refusal

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Waits after a failed call of the mirror.
const (
	mirrorBackoffMin = 100 * time.Millisecond
	mirrorBackoffMax = 5 * time.Second
)

// mirrorLoop hands records to the peer as soon as they come; those that come during a call go with the next.
func (l *Log) mirrorLoop(ctx context.Context) error {
	backoff := objectapi.Backoff{Min: mirrorBackoffMin, Max: mirrorBackoffMax, Rand: l.cfg.Rand}
	for {
		if err := l.awaitRecords(ctx); err != nil {
			return err
		}
		if l.mirrorOnce(ctx) == nil {
			backoff.Reset()
			continue
		}
		if err := pause(ctx, backoff.Next()); err != nil {
			return err
		}
	}
}

// awaitRecords returns when there are records to mirror.
func (l *Log) awaitRecords(ctx context.Context) error {
	for {
		l.mu.Lock()
		n := l.queue.len()
		l.mu.Unlock()
		if n > 0 {
			return ctx.Err()
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// mirrorOnce makes one call. After a failure all unwritten records are queued again, since the next call may reach
// another peer, which has none of them.
func (l *Log) mirrorOnce(ctx context.Context) error {
	records := l.takeQueued()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.MirrorTimeout)
	defer cancel()
	err := l.cfg.Mirror.Mirror(ctx, records)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inCall = 0
	if err != nil {
		l.stats.MirrorErrors++
		l.counters.mirrorErrors.Inc(1)
		l.cfg.Logger.Warn().Err(err).Str("op", "mirror").Int("records", len(records)).Msg("refusal records not mirrored")
		l.requeue()
		return err
	}
	l.stats.Mirrored += uint64(len(records))
	l.counters.mirrored.Inc(int64(len(records)))
	l.noteMoved()
	return nil
}

func (l *Log) takeQueued() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for _, e := range l.queue.take(l.cfg.MirrorBatch) {
		out = append(out, e.record)
	}
	l.inCall = len(out)
	return out
}

// requeue queues all unwritten own records for the mirror; l.mu is held. Records of dead peers are left out, since
// only a second death could lose them.
func (l *Log) requeue() {
	l.queue = newPool(l.queue.limit)
	for _, e := range l.unwritten() {
		if e.stream.origin == l.origin {
			l.queue.add(e)
		}
	}
}

// MirrorChanged queues all records that the store does not have for the mirror, which now reaches another peer.
func (l *Log) MirrorChanged() {
	if l.cfg.Mirror == nil {
		return
	}
	l.mu.Lock()
	l.requeue()
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Sync waits until a peer or the store has every record so far, or the context ends. A process that must not lose a
// record with its own death calls it before it answers the refused caller.
func (l *Log) Sync(ctx context.Context) error {
	for {
		l.mu.Lock()
		moved, left := l.moved, l.queue.len()+l.inCall
		l.mu.Unlock()
		if left == 0 || l.cfg.Mirror == nil {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pause waits for d or the end of the context.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
