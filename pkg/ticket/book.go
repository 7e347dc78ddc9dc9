package ticket

import (
	"sync"
	"time"
)

// Book holds the tickets that one incarnation of an agent issued. Its methods are safe for concurrent use; each is
// atomic.
type Book struct {
	o    Options
	mu   sync.Mutex
	ring ring
	// held holds the entries that left the ring while a submission still holds their ticket.
	held map[uint64]*entry
}

func NewBook(o Options) *Book {
	return &Book{o: o.withDefaults(), ring: newRing(), held: make(map[uint64]*entry)}
}

// Issue issues n tickets, or returns ErrFull and issues none.
func (b *Book) Issue(now time.Time, n int) ([]Ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictExpired(now)
	if b.ring.size+len(b.held)+n > b.o.Max {
		return nil, ErrFull
	}
	tickets := make([]Ticket, n)
	for i := range tickets {
		tickets[i] = b.issue(now)
	}
	return tickets, nil
}

func (b *Book) issue(now time.Time) Ticket {
	expiry := now.Add(b.o.TTL).UnixMilli()
	e := entry{secret: b.o.Rand.Uint64(), expiry: expiry, state: StateIssued}
	seq := b.ring.push(e)
	return Ticket{
		Issuer:      b.o.Issuer,
		Incarnation: b.o.Incarnation,
		Sequence:    seq,
		Secret:      e.secret,
		Expiry:      time.UnixMilli(expiry),
	}
}

// evictExpired removes the entries whose retention has ended. One that a submission still holds is kept until it ends.
func (b *Book) evictExpired(now time.Time) {
	limit := now.Add(-b.o.Retention).UnixMilli()
	for b.ring.size > 0 {
		e := b.ring.at(b.ring.first)
		if e.expiry >= limit {
			return
		}
		if e.held() {
			kept := *e
			b.held[b.ring.first] = &kept
		}
		b.ring.pop()
	}
}

// find returns the entry of a ticket and its state, or nil and the state that follows from its absence.
func (b *Book) find(t Ticket) (*entry, State) {
	if t.Issuer != b.o.Issuer || t.Incarnation != b.o.Incarnation || t.Sequence == 0 || t.Sequence >= b.ring.next() {
		return nil, StateForeign
	}
	e := b.ring.at(t.Sequence)
	if e == nil {
		e = b.held[t.Sequence]
	}
	if e == nil {
		return nil, StateForgotten
	}
	if e.secret != t.Secret || e.expiry != t.Expiry.UnixMilli() {
		return nil, StateForeign
	}
	return e, e.state
}

// expire marks a ticket that was not submitted in time as expired.
func (e *entry) expire(now time.Time) {
	if e.state == StateIssued && now.UnixMilli() >= e.expiry {
		e.state = StateExpired
	}
}

// Look returns the state of a ticket and, in StateRan, the status of its answer.
func (b *Book) Look(now time.Time, t Ticket) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, state := b.find(t)
	if e == nil {
		return Result{State: state}
	}
	e.expire(now)
	return e.result()
}

// result returns the state and the values that belong to it.
func (e *entry) result() Result {
	r := Result{State: e.state, Status: int(e.status)}
	if e.state == StateCancelled {
		r.Ended = time.UnixMilli(e.ended)
	}
	return r
}

// Spend submits a ticket for the request with the given fingerprint. At most one submission of a ticket wins.
func (b *Book) Spend(now time.Time, t Ticket, fingerprint uint64) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, state := b.find(t)
	if e == nil {
		return Result{State: state}
	}
	e.expire(now)
	if e.state == StateIssued {
		e.state = StateWaiting
		e.fingerprint = fingerprint
		return Result{Won: true, State: StateWaiting}
	}
	other := e.fingerprint != fingerprint && e.state != StateExpired && e.fingerprint != 0
	return Result{State: e.state, Status: int(e.status), DifferentRequest: other}
}

// Start changes a waiting ticket to running. It returns false when a cancel came first; the work must then not be sent.
func (b *Book) Start(t Ticket) bool { return b.transition(t, StateRunning, 0, StateWaiting) }

// Return changes a running ticket back to waiting, for work that is proved not to have begun.
func (b *Book) Return(t Ticket) bool { return b.transition(t, StateWaiting, 0, StateRunning) }

// Finish records that a target answered with the given HTTP status.
func (b *Book) Finish(t Ticket, status int) bool {
	return b.transition(t, StateRan, status, StateRunning)
}

// Lose records that the outcome of started work cannot be known.
func (b *Book) Lose(t Ticket) bool { return b.transition(t, StateLost, 0, StateRunning) }

// Withdraw records that the work of a waiting or running ticket is proved not to have run.
func (b *Book) Withdraw(now time.Time, t Ticket) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, _ := b.find(t)
	if e == nil || !e.held() {
		return false
	}
	b.cancel(t.Sequence, e, now)
	return true
}

func (b *Book) cancel(seq uint64, e *entry, now time.Time) {
	e.ended = now.UnixMilli()
	b.set(seq, e, StateCancelled, 0)
}

// Cancel cancels a ticket that is not running, and returns the state after the call: StateCancelled when the work never
// runs, StateRunning when it was started first.
func (b *Book) Cancel(now time.Time, t Ticket) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, state := b.find(t)
	if e == nil {
		return state
	}
	e.expire(now)
	if e.state == StateIssued || e.state == StateWaiting {
		b.cancel(t.Sequence, e, now)
	}
	return e.state
}

// transition changes the state when the present one is among from.
func (b *Book) transition(t Ticket, to State, status int, from ...State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, state := b.find(t)
	if e == nil {
		return false
	}
	for _, f := range from {
		if state == f {
			b.set(t.Sequence, e, to, status)
			return true
		}
	}
	return false
}

func (b *Book) set(seq uint64, e *entry, to State, status int) {
	e.state = to
	e.status = uint16(status)
	if !e.held() {
		delete(b.held, seq)
	}
}

// Size returns the number of tickets in memory.
func (b *Book) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ring.size + len(b.held)
}
