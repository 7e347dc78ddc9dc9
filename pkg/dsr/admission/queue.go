// Package admission orders the requests that wait for one target, those that open a flow and further ones on open
// flows, and decides which new flows are refused or abandoned.
//
// It does no input or output and reads no clock. It is made for bursts that a target cannot work off at once, such as
// the retransmissions and retries after an outage: a target's own queue is first in, first out, so that passing
// everything on at once would make fresh requests wait behind those that are already late. Requests that can still be
// answered in the promised time go first; late ones follow, those with the most recent transmission first; one whose
// caller is gone, or will be before its turn, is abandoned. A request on an open flow cannot be refused: it is due at
// the last moment at which its answer can still come before its caller's timeout.
//
// Callers give up without notice, often long before their timeout. While they wait, they only retransmit the opening
// packet.
package admission

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// DefaultRoundTrips is assumed for the time that packets spend between the caller and the target, from the answer
	// to the opening packet to the answer to the request, until it is measured.
	DefaultRoundTrips = 15 * time.Millisecond
	// LongWork is the work of a long request as a multiple of the typical work; 97 of 100 requests do not exceed it. A
	// request counts as timely only when that much time is left. The margin matters under overload: the requests closest
	// to their promised time go first, so each is offered with little more than the margin left.
	LongWork = 2.5
	// MinWork is the least margin, as a multiple of the typical work. It applies where half of the promised time is
	// less than a long request takes: a target that is slow after its start would otherwise count every request that
	// has waited as late.
	MinWork = 1.5
	// RetransmissionSlack is how late a retransmission of an opening packet may be until its caller counts as gone:
	// the delay of a busy balancer.
	RetransmissionSlack = 100 * time.Millisecond
)

// Queue holds the requests that wait for one target. The zero value is empty.
type Queue struct {
	// Without names the mechanisms that are switched off, for measurements.
	Without policy.Without
	// RoundTrips is the time that packets spend between the caller and the target, from the answer to the opening
	// packet to the answer to the request; 0 means DefaultRoundTrips.
	RoundTrips time.Duration
	// Cold limits the new flows of the target while it warms up.
	Cold warmup.Limit

	waiting []Request
	// open is the number of waiting requests on open flows.
	open int
}

func (q *Queue) Len() int { return len(q.waiting) }

// NewFlows is the number of waiting requests that open a flow.
func (q *Queue) NewFlows() int { return len(q.waiting) - q.open }

// Add queues a new flow. It returns false when its caller would leave before its turn, given the target's work for one
// request and its slots.
func (q *Queue) Add(now time.Time, r Request, work time.Duration, slots int) bool {
	if now.Add(q.wait(now, r, work, slots) + work).After(r.deadline()) {
		return false
	}
	r.InTime = q.timely(r, now, work)
	q.waiting = append(q.waiting, r)
	return true
}

// Overloaded reports whether a new flow would be late because of requests of the same or a higher priority, or is late
// already while as many late ones wait as there are slots: those take what the others leave. The requests that the
// target has to finish before it takes another count as ahead.
func (q *Queue) Overloaded(now time.Time, r Request, work time.Duration, slots, ahead int, backlog time.Duration) bool {
	if q.Without.RefuseLate || r.Aim == 0 {
		return false
	}
	if !q.timely(r, now, work) {
		return q.late(now, work) >= slots
	}
	for _, w := range q.waiting {
		if w.Priority <= r.Priority && q.before(w, r, now, work) {
			ahead++
		}
	}
	turn := now.Add(q.Cold.Wait(now, ahead+1, work/time.Duration(max(1, slots))))
	return !q.timely(r, turn.Add(backlog), work)
}

// late is the number of waiting requests that cannot be answered in the promised time.
func (q *Queue) late(now time.Time, work time.Duration) int {
	n := 0
	for _, r := range q.waiting {
		if !q.timely(r, now, work) {
			n++
		}
	}
	return n
}

// AddOpen queues a request on an open flow.
func (q *Queue) AddOpen(r Request) {
	r.Open = true
	q.waiting = append(q.waiting, r)
	q.open++
}

// wait estimates how long a request is queued.
func (q *Queue) wait(now time.Time, r Request, work time.Duration, slots int) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if q.before(w, r, now, work) {
			ahead++
		}
	}
	return q.Cold.Wait(now, ahead, work/time.Duration(max(1, slots)))
}

// Next removes and returns the request whose turn it is.
func (q *Queue) Next(now time.Time, work time.Duration) (Request, bool) {
	return q.NextOf(now, work, func(Request) bool { return true })
}

// NextOf removes and returns the eligible request whose turn it is.
func (q *Queue) NextOf(now time.Time, work time.Duration, eligible func(Request) bool) (Request, bool) {
	best := q.first(now, work, eligible)
	if best < 0 {
		return Request{}, false
	}
	return q.take(best), true
}

// NextOpen removes and returns the first request on an open flow.
func (q *Queue) NextOpen(now time.Time, work time.Duration) (Request, bool) {
	return q.NextOf(now, work, func(r Request) bool { return r.Open })
}

// NextNew removes and returns the first new flow.
func (q *Queue) NextNew(now time.Time, work time.Duration) (Request, bool) {
	return q.NextOf(now, work, func(r Request) bool { return !r.Open })
}

// first returns the index of the first eligible request in the order of before, -1 when there is none.
func (q *Queue) first(now time.Time, work time.Duration, eligible func(Request) bool) int {
	best := -1
	for i, r := range q.waiting {
		if eligible(r) && (best < 0 || q.before(r, q.waiting[best], now, work)) {
			best = i
		}
	}
	return best
}

// Expired removes and returns a new flow whose caller is gone or will have left before an answer.
func (q *Queue) Expired(now time.Time, work time.Duration) (Request, bool) {
	for i, r := range q.waiting {
		if !r.Open && (r.expired(now, work) || !q.Without.GiveUpSilent && r.silent(now)) {
			return q.take(i), true
		}
	}
	return Request{}, false
}

// Late removes and returns a new flow that was queued while it could be answered in the promised time and now cannot.
func (q *Queue) Late(now time.Time, work time.Duration) (Request, bool) {
	if q.Without.RefuseLate {
		return Request{}, false
	}
	for i, r := range q.waiting {
		if !r.Open && r.InTime && !q.timely(r, now, work) {
			return q.take(i), true
		}
	}
	return Request{}, false
}

// Due removes and returns the request on an open flow that can wait no longer, given the time that the target needs for
// what it has.
func (q *Queue) Due(now time.Time, work, backlog time.Duration) (Request, bool) {
	i := q.nextDue(work, backlog)
	if i < 0 || now.Before(q.DueAt(q.waiting[i], work, backlog)) {
		return Request{}, false
	}
	return q.take(i), true
}

// NextDue returns when the next request on an open flow can wait no longer; false when none waits.
func (q *Queue) NextDue(work, backlog time.Duration) (time.Time, bool) {
	i := q.nextDue(work, backlog)
	if i < 0 {
		return time.Time{}, false
	}
	return q.DueAt(q.waiting[i], work, backlog), true
}

// nextDue returns the index of the request on an open flow that is due first, -1 when none waits.
func (q *Queue) nextDue(work, backlog time.Duration) int {
	if q.open == 0 {
		return -1
	}
	next := -1
	for i, r := range q.waiting {
		if r.Open && (next < 0 || q.DueAt(r, work, backlog).Before(q.DueAt(q.waiting[next], work, backlog))) {
			next = i
		}
	}
	return next
}

// DueAt returns when a request on an open flow can wait no longer.
func (q *Queue) DueAt(r Request, work, backlog time.Duration) time.Time {
	return r.dueAt(work, q.roundTrips(), backlog, q.long())
}

// RecordSent records a transmission of the packet of a waiting request, as Request.RecordSent does.
func (q *Queue) RecordSent(key flow.Key, age, next time.Duration) {
	for i := range q.waiting {
		if q.waiting[i].Key == key {
			q.waiting[i].RecordSent(age, next)
			return
		}
	}
}

// Promise sets the priority, the promised time and the timeout of the requests that wait for an address.
func (q *Queue) Promise(destination netip.AddrPort, priority int, aim, timeout time.Duration) {
	for i := range q.waiting {
		r := &q.waiting[i]
		if r.Key.Destination == destination {
			r.Priority, r.Aim, r.Timeout = priority, aim, timeout
		}
	}
}

func (q *Queue) Remove(key flow.Key) { q.Take(key) }

// Take removes and returns the request of a flow.
func (q *Queue) Take(key flow.Key) (Request, bool) {
	for i, r := range q.waiting {
		if r.Key == key {
			return q.take(i), true
		}
	}
	return Request{}, false
}

func (q *Queue) take(i int) Request {
	r := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	if r.Open {
		q.open--
	}
	return r
}

// Slack is how long a request with a promised time may wait in the target's own queue.
func (q *Queue) Slack(aim, work time.Duration) time.Duration {
	return aim - q.roundTrips() - Request{Aim: aim}.margin(work, q.long())
}

// Timely reports whether the answer to a request can still come in the promised time when its turn is now.
func (q *Queue) Timely(now time.Time, r Request, work time.Duration) bool {
	return q.timely(r, now, work)
}

func (q *Queue) timely(r Request, now time.Time, work time.Duration) bool {
	return r.timely(now, work, q.roundTrips(), q.long())
}

func (q *Queue) long() float64 {
	if q.Without.LongWork {
		return MinWork
	}
	return LongWork
}

func (q *Queue) roundTrips() time.Duration { return cmp.Or(q.RoundTrips, DefaultRoundTrips) }

// before reports whether the turn of a comes before that of b: timely ones by priority and then by promised time, late
// ones by their last transmission, the most recent first.
func (q *Queue) before(a, b Request, now time.Time, work time.Duration) bool {
	if q.Without.TimelyFirst {
		return a.Arrived.Before(b.Arrived)
	}
	timely := q.timely(a, now, work)
	if timely != q.timely(b, now, work) {
		return timely
	}
	if !timely {
		return a.LastSent.After(b.LastSent)
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c < 0
	}
	return a.Arrived.Add(a.Aim).Before(b.Arrived.Add(b.Aim))
}
