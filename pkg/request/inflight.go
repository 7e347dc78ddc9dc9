package request

import (
	"context"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// inflight is the one submission that holds a ticket. Repeats of the ticket wait for done.
type inflight struct {
	done  chan struct{}
	reply *cachedResponse
	// cancel cancels started work after the caller cancelled the ticket.
	cancel context.CancelCauseFunc
	// cancelRequested is closed when the caller cancels the ticket; it wakes work that waits for a slot.
	cancelRequested chan struct{}
	cancelOnce      sync.Once
}

func newInflight() *inflight {
	return &inflight{done: make(chan struct{}), cancelRequested: make(chan struct{})}
}

// inflightTable holds the submissions that hold a ticket of this agent, by ticket sequence number.
type inflightTable struct {
	mu   sync.Mutex
	open map[uint64]*inflight
}

func newInflightTable() *inflightTable { return &inflightTable{open: make(map[uint64]*inflight)} }

// spend submits a ticket. It returns the submission that holds the ticket: own if the ticket was free, otherwise the
// earlier one, or nil if that has finished.
func (f *inflightTable) spend(b ticketBook, now time.Time, t ticket.Ticket, fingerprint uint64, own *inflight) (ticket.Result, *inflight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := b.Spend(now, t, fingerprint)
	if res.Won {
		f.open[t.Sequence] = own
		return res, own
	}
	return res, f.open[t.Sequence]
}

// finish removes a submission and wakes the repeats that wait for it.
func (f *inflightTable) finish(seq uint64) {
	f.mu.Lock()
	own := f.open[seq]
	delete(f.open, seq)
	f.mu.Unlock()
	if own != nil {
		close(own.done)
	}
}

// setCancel makes started work cancellable.
func (f *inflightTable) setCancel(own *inflight, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own.cancel = cancel
}

// cancel cancels the started work of a ticket, if it is running.
func (f *inflightTable) cancel(seq uint64) {
	f.mu.Lock()
	own := f.open[seq]
	var cancel context.CancelCauseFunc
	if own != nil {
		cancel = own.cancel
	}
	f.mu.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
}

// wakeCancelled wakes the submission that holds a ticket after the ticket was cancelled.
func (f *inflightTable) wakeCancelled(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own := f.open[seq]; own != nil {
		own.cancelOnce.Do(func() { close(own.cancelRequested) })
	}
}
