package refusal

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Backoff after a failed mirror call.
const (
	mirrorBackoffMin = 100 * time.Millisecond
	mirrorBackoffMax = 5 * time.Second
)

// Estimated cost of a mirror call, in bytes. EncodeRecords packs one record into about 250 bytes and each further one
// of a batch into 15 to 20; the transport adds its headers.
const (
	mirrorCallCost   = 450
	mirrorRecordCost = 25
)

// mirrorLoop mirrors records as soon as they are queued; records queued during a call go with the next one. The rate in
// bytes is limited; when the queue is full, records are merged.
func (l *Log) mirrorLoop(ctx context.Context) error {
	backoff := objectapi.Backoff{Min: mirrorBackoffMin, Max: mirrorBackoffMax, Rand: l.cfg.Rand}
	budget := rate.NewLimiter(rate.Limit(l.cfg.MirrorRate), l.cfg.MirrorBurst)
	for {
		if err := l.awaitRecords(ctx); err != nil {
			return err
		}
		if err := l.awaitMore(ctx); err != nil {
			return err
		}
		records := l.takeQueued()
		if err := budget.WaitN(ctx, min(l.cfg.MirrorBurst, mirrorCallCost+mirrorRecordCost*len(records))); err != nil {
			l.requeueFailed(records, err)
			return err
		}
		if l.send(ctx, records) == nil {
			backoff.Reset()
			continue
		}
		if err := wait.For(ctx, backoff.Next()); err != nil {
			return err
		}
	}
}

// awaitRecords returns when there are records or receipts to send.
func (l *Log) awaitRecords(ctx context.Context) error {
	for {
		l.mu.Lock()
		n := l.queue.len() + len(l.receipts)
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

// awaitMore waits for Config.MirrorDelay, so that one call carries many records, or until Drain has begun.
func (l *Log) awaitMore(ctx context.Context) error {
	timer := time.NewTimer(l.cfg.MirrorDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.draining:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// send makes one mirror call.
func (l *Log) send(ctx context.Context, records []Record) error {
	call, cancel := context.WithTimeout(ctx, l.cfg.MirrorTimeout)
	defer cancel()
	if err := l.cfg.Mirror.Mirror(call, records); err != nil {
		l.requeueFailed(records, err)
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inCall = 0
	l.stats.Mirrored += uint64(len(records))
	l.counters.mirrored.Inc(int64(len(records)))
	l.notifyProgress()
	return nil
}

// requeueFailed queues the records of a failed call again.
func (l *Log) requeueFailed(records []Record, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inCall = 0
	l.stats.MirrorErrors++
	l.counters.mirrorErrors.Inc(1)
	l.cfg.Logger.Warn().Err(err).Str("op", "mirror").Int("records", len(records)).Msg("refusal records not mirrored")
	for _, r := range records {
		if r.Count > 0 {
			l.queue.add(entryOf(r))
		}
	}
}

// takeQueued removes the records of the next call from the queue, receipts last. A lost receipt is not sent again,
// because the next receipt of the process covers it.
func (l *Log) takeQueued() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for _, e := range l.queue.take(l.cfg.MirrorBatch) {
		out = append(out, e.record)
	}
	l.inCall = len(out)
	n := min(l.cfg.MirrorBatch, len(l.receipts))
	out = append(out, l.receipts[:n]...)
	l.receipts = append([]Record(nil), l.receipts[n:]...)
	return out
}

// requeueUnwritten queues all unwritten records for the mirror; l.mu is held.
func (l *Log) requeueUnwritten() {
	l.queue = newPool(l.queue.limit)
	for _, e := range l.unwritten() {
		l.queue.add(e)
	}
}

// MirrorChanged queues all records that are not in the store for the mirror, which now reaches another peer.
func (l *Log) MirrorChanged() {
	if l.cfg.Mirror == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requeueUnwritten()
	l.signal()
}

// Sync waits until a peer or the store has all records recorded so far, or the context ends. A process whose crash must
// not lose a record calls it before it answers the refused caller.
func (l *Log) Sync(ctx context.Context) error {
	for {
		l.mu.Lock()
		progress, left := l.progress, l.queue.len()+l.inCall
		l.mu.Unlock()
		if left == 0 || l.cfg.Mirror == nil {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// syncWithin is Sync with a limit of time; it reports whether the peer or the store has all records.
func (l *Log) syncWithin(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return l.Sync(ctx) == nil
}

// notifyProgress wakes the callers of Sync; l.mu is held.
func (l *Log) notifyProgress() {
	close(l.progress)
	l.progress = make(chan struct{})
}
