package request

import (
	"context"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// flight is the one submission that holds a ticket. Repeats wait for done.
type flight struct {
	done   chan struct{}
	answer *keptAnswer
	// cancel ends the started work for a caller's explicit cancel.
	cancel context.CancelCauseFunc
	// stop is closed by a caller's explicit cancel, which wakes work that waits.
	stop chan struct{}
	once sync.Once
}

func newFlight() *flight {
	return &flight{done: make(chan struct{}), stop: make(chan struct{})}
}

// flights are the submissions that hold a ticket of this agent.
type flights struct {
	mu   sync.Mutex
	open map[uint64]*flight
}

func newFlights() *flights { return &flights{open: make(map[uint64]*flight)} }

// spend submits a ticket. It returns the flight of the submission that holds the ticket, if any.
func (f *flights) spend(b ticketBook, now time.Time, t ticket.Ticket, fingerprint uint64, own *flight) (ticket.Result, *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := b.Spend(now, t, fingerprint)
	if res.Won {
		f.open[t.Sequence] = own
		return res, own
	}
	return res, f.open[t.Sequence]
}

// land ends a flight and wakes the repeats.
func (f *flights) land(seq uint64) {
	f.mu.Lock()
	own := f.open[seq]
	delete(f.open, seq)
	f.mu.Unlock()
	if own != nil {
		close(own.done)
	}
}

// setCancel makes started work cancellable.
func (f *flights) setCancel(own *flight, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own.cancel = cancel
}

// cancel ends the started work of a ticket, if it runs.
func (f *flights) cancel(seq uint64) {
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

// nudge wakes the holder of a waiting ticket after a cancel.
func (f *flights) nudge(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own := f.open[seq]; own != nil {
		own.once.Do(func() { close(own.stop) })
	}
}
