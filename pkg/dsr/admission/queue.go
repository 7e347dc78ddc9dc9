// Package admission orders the new flows that are queued for one target, and decides which of them are abandoned.
//
// It does no input or output and reads no clock. It is made for bursts that a target cannot work off at once, such as
// the retransmissions and retries after an outage: a target's own queue is first in, first out, so that passing
// everything on at once would make fresh requests wait behind those that are already late. Requests that can still be
// answered in the promised time go first; late ones follow, those with the most recent transmission first; one whose
// caller is gone, or will be before its turn, is abandoned.
//
// Callers give up without notice, often long before their timeout. While they wait, they only retransmit the opening
// packet.
package admission

import (
	"cmp"
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

// Opening is a new flow that is queued for the target.
type Opening struct {
	Key flow.Key
	// Arrived is when its first packet reached the system, as far as is known.
	Arrived time.Time
	// Aim is the response time promised to its caller, 0 when there is none; Timeout is how long the caller waits.
	Aim     time.Duration
	Timeout time.Duration
	// Priority is the rank of its route; 0 is the highest.
	Priority int
	// LastSent is when the caller last sent the opening packet; NextDue is when its next retransmission is due, zero
	// when it sends none.
	LastSent time.Time
	NextDue  time.Time
}

// RecordSent records a transmission of the opening packet, sent age after the first one. The next one is due after a
// further next; 0 means that there is none. Transmissions may arrive in any order.
func (o *Opening) RecordSent(age, next time.Duration) {
	sentAt := o.Arrived.Add(age)
	if !o.LastSent.IsZero() && sentAt.Before(o.LastSent) {
		return
	}
	o.LastSent, o.NextDue = sentAt, time.Time{}
	if next > 0 {
		o.NextDue = sentAt.Add(next)
	}
}

// deadline is when the caller gives up.
func (o Opening) deadline() time.Time { return o.Arrived.Add(o.Timeout) }

// timely reports whether the answer can still come in the promised time when the flow is offered now.
func (o Opening) timely(now time.Time, work, roundTrips time.Duration, long float64) bool {
	return !now.Add(roundTrips + o.margin(work, long)).After(o.Arrived.Add(o.Aim))
}

// margin is the time set aside for the work of one request.
func (o Opening) margin(work time.Duration, long float64) time.Duration {
	return margin(work, o.Aim, long)
}

// Margin returns the time set aside for the work of one request, given the promised time: that of a long one, unless
// that would leave less than half of the promised time for waiting.
func Margin(work, aim time.Duration) time.Duration { return margin(work, aim, LongWork) }

func margin(work, aim time.Duration, long float64) time.Duration {
	return min(time.Duration(long*float64(work)), max(aim/2, time.Duration(MinWork*float64(work))))
}

// expired reports whether the caller will have left before an answer when the work begins now.
func (o Opening) expired(now time.Time, work time.Duration) bool {
	return now.Add(work).After(o.deadline())
}

// silent reports whether a retransmission of the opening packet is overdue.
func (o Opening) silent(now time.Time) bool {
	return !o.NextDue.IsZero() && now.After(o.NextDue.Add(RetransmissionSlack))
}

// Queue holds the flows that wait for one target. The zero value is empty.
type Queue struct {
	// Without names the mechanisms that are switched off, for measurements.
	Without policy.Without
	// RoundTrips is the time that packets spend between the caller and the target, from the answer to the opening
	// packet to the answer to the request; 0 means DefaultRoundTrips.
	RoundTrips time.Duration
	// Cold limits the target while it warms up.
	Cold warmup.Limit

	waiting []Opening
}

func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a flow. It returns false when its caller would leave before its turn, given the target's work for one
// request and its slots.
func (q *Queue) Add(now time.Time, o Opening, work time.Duration, slots int) bool {
	if now.Add(q.wait(now, o, work, slots) + work).After(o.deadline()) {
		return false
	}
	q.waiting = append(q.waiting, o)
	return true
}

// wait estimates how long a flow is queued.
func (q *Queue) wait(now time.Time, o Opening, work time.Duration, slots int) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if q.before(w, o, now, work) {
			ahead++
		}
	}
	return q.Cold.Wait(now, ahead, work/time.Duration(max(1, slots)))
}

// Next removes and returns the flow to be offered next.
func (q *Queue) Next(now time.Time, work time.Duration) (Opening, bool) {
	best := -1
	for i, o := range q.waiting {
		if best < 0 || q.before(o, q.waiting[best], now, work) {
			best = i
		}
	}
	if best < 0 {
		return Opening{}, false
	}
	return q.take(best), true
}

// Expired removes and returns a flow whose caller is gone or will have left before an answer.
func (q *Queue) Expired(now time.Time, work time.Duration) (Opening, bool) {
	for i, o := range q.waiting {
		if o.expired(now, work) || !q.Without.GiveUpSilent && o.silent(now) {
			return q.take(i), true
		}
	}
	return Opening{}, false
}

// RecordSent records a transmission of the opening packet of a queued flow, as Opening.RecordSent does.
func (q *Queue) RecordSent(key flow.Key, age, next time.Duration) {
	for i := range q.waiting {
		if q.waiting[i].Key == key {
			q.waiting[i].RecordSent(age, next)
			return
		}
	}
}

func (q *Queue) Remove(key flow.Key) {
	for i, o := range q.waiting {
		if o.Key == key {
			q.take(i)
			return
		}
	}
}

func (q *Queue) take(i int) Opening {
	o := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return o
}

// before reports whether a is offered before b: timely ones by priority and then by promised time, late ones by their
// last transmission, the most recent first.
func (q *Queue) before(a, b Opening, now time.Time, work time.Duration) bool {
	if q.Without.TimelyFirst {
		return a.Arrived.Before(b.Arrived)
	}
	roundTrips := cmp.Or(q.RoundTrips, DefaultRoundTrips)
	long := LongWork
	if q.Without.LongWork {
		long = MinWork
	}
	timely := a.timely(now, work, roundTrips, long)
	if timely != b.timely(now, work, roundTrips, long) {
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
