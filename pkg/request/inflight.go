package request

import (
	"context"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// inflight is the one submission that holds a ticket. Repeats wait for done.
type inflight struct {
	done     chan struct{}
	response *cachedResponse
	// cancel ends the started work for a caller's explicit cancel.
	cancel context.CancelCauseFunc
	// cancelRequested is closed by a caller's explicit cancel, which wakes work that waits.
	cancelRequested chan struct{}
	cancelOnce      sync.Once
}

func newInflight() *inflight {
	return &inflight{done: make(chan struct{}), cancelRequested: make(chan struct{})}
}

// inflightTable are the submissions that hold a ticket of this agent.
type inflightTable struct {
	mu   sync.Mutex
	open map[uint64]*inflight
}

func newInflightTable() *inflightTable { return &inflightTable{open: make(map[uint64]*inflight)} }

// spend submits a ticket. It returns the flight of the submission that holds the ticket, if any.
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

// finish ends a flight and wakes the repeats.
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

// cancel ends the started work of a ticket, if it runs.
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

// wakeCancelled wakes the holder of a waiting ticket after a cancel.
func (f *inflightTable) wakeCancelled(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own := f.open[seq]; own != nil {
		own.cancelOnce.Do(func() { close(own.cancelRequested) })
	}
}
