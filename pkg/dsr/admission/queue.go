// Package admission decides the order in which new flows that wait for one target are handed to it, and which of them are
// given up.
//
// It does no input or output and reads no clock. It answers for bursts that a target cannot work off at once, such as the
// copies and retries that arrive after an outage: a target's own queue is first in, first out, so that everything handed to
// it at once would make fresh requests wait behind those that are late already. Requests that can still be answered in the
// promised time go first; late ones follow, those whose callers were heard of last first; one whose caller is gone, or will
// be before its turn, is given up.
//
// Callers give up without a word, often long before their patience is over. What they do while they wait is to repeat the opening
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
	// DefaultRoundTrips is taken for the time that packets spend between the caller and the target, from the answer to the opening packet
	// to the answer to the request, until it is learnt.
	DefaultRoundTrips = 15 * time.Millisecond
	// LongWorkFactor is the work of a long request as a multiple of the usual one, which 97 of 100 do not exceed. A request counts as one that
	// can be answered in the promised time only when there is time for that much: those closest to the end of it go first, so that under an
	// overload every request is handed over with just the time that is set aside.
	LongWorkFactor = 2.5
	// MinWorkFactor is set aside at least, where half of the promised time is less than a long request takes: a target that is slow after its
	// start would else count every request that has waited at all as late.
	MinWorkFactor = 1.5
	// RetransmissionSlack is how late a copy of an opening packet may be until its caller is taken for gone: the delay of a busy
	// balancer.
	RetransmissionSlack = 100 * time.Millisecond
)

// Opening is a new flow that waits for the target.
type Opening struct {
	Key flow.Key
	// Arrived is when its first packet reached the system, as far as is known.
	Arrived time.Time
	// Aim is the response time promised to its caller, 0 when there is none; Patience is how long the caller waits.
	Aim     time.Duration
	Timeout time.Duration
	// Priority is the rank of its route; 0 is the highest.
	Priority int
	// LastSent is when the caller sent its last copy of the opening packet; NextCopy is when its next one is due, zero when it
	// sends none.
	LastSent time.Time
	NextDue  time.Time
}

// RecordSent notes a copy of the opening packet that was sent age after the first; the next one follows after next, if that is
// not 0. Copies may come in any order.
func (o *Opening) RecordSent(age, next time.Duration) {
	heard := o.Arrived.Add(age)
	if !o.LastSent.IsZero() && heard.Before(o.LastSent) {
		return
	}
	o.LastSent, o.NextDue = heard, time.Time{}
	if next > 0 {
		o.NextDue = heard.Add(next)
	}
}

// deadline is when the caller gives up.
func (o Opening) deadline() time.Time { return o.Arrived.Add(o.Timeout) }

// timely reports whether the answer can still come in the promised time when the flow is handed over now.
func (o Opening) timely(now time.Time, work, trips time.Duration, long float64) bool {
	return !now.Add(trips + o.margin(work, long)).After(o.Arrived.Add(o.Aim))
}

// margin is the time that is set aside for the work of one request: that of a long one, unless that would leave less than half of the
// promised time for waiting.
func (o Opening) margin(work time.Duration, long float64) time.Duration {
	return min(time.Duration(long*float64(work)), max(o.Aim/2, time.Duration(MinWorkFactor*float64(work))))
}

// expired reports whether the caller will have left before an answer when the work begins now.
func (o Opening) expired(now time.Time, work time.Duration) bool {
	return now.Add(work).After(o.deadline())
}

// silent reports whether a copy of the opening packet is overdue.
func (o Opening) silent(now time.Time) bool {
	return !o.NextDue.IsZero() && now.After(o.NextDue.Add(RetransmissionSlack))
}

// Queue holds the flows that wait for one target. The zero value is empty.
type Queue struct {
	// Without says which mechanisms are switched off, for measurements.
	Without policy.Without
	// RoundTrips is the time that packets spend between the caller and the target from the answer to the opening packet to the answer
	// to the request; 0 means StartTrips.
	RoundTrips time.Duration
	// Cold is what the target takes while it warms up.
	Cold warmup.Limit

	waiting []Opening
}

// Len is the number of waiting flows.
func (q *Queue) Len() int { return len(q.waiting) }

// Add lets a flow wait. It returns false when its caller would leave before its turn, given the target's work for one
// request and its slots.
func (q *Queue) Add(now time.Time, o Opening, work time.Duration, slots int) bool {
	if now.Add(q.wait(now, o, work, slots) + work).After(o.deadline()) {
		return false
	}
	q.waiting = append(q.waiting, o)
	return true
}

// wait estimates how long a flow waits for its turn.
func (q *Queue) wait(now time.Time, o Opening, work time.Duration, slots int) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if q.before(w, o, now, work) {
			ahead++
		}
	}
	return q.Cold.Wait(now, ahead, work/time.Duration(max(1, slots)))
}

// Next removes and returns the flow that is handed over next.
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

// Expired removes and returns a flow whose caller will have left before an answer.
func (q *Queue) Expired(now time.Time, work time.Duration) (Opening, bool) {
	for i, o := range q.waiting {
		if o.expired(now, work) || !q.Without.GiveUpSilent && o.silent(now) {
			return q.take(i), true
		}
	}
	return Opening{}, false
}

// RecordRetransmission notes a copy of the opening packet of a waiting flow.
func (q *Queue) RecordRetransmission(key flow.Key, age, next time.Duration) {
	for i := range q.waiting {
		if q.waiting[i].Key == key {
			q.waiting[i].RecordSent(age, next)
			return
		}
	}
}

// Remove removes the flow with the given key.
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

// before reports whether a is handed over before b: timely ones by priority and the time left to keep the promise, late
// ones by when their callers were heard of.
func (q *Queue) before(a, b Opening, now time.Time, work time.Duration) bool {
	if q.Without.TimelyFirst {
		return a.Arrived.Before(b.Arrived)
	}
	trips := cmp.Or(q.RoundTrips, DefaultRoundTrips)
	long := LongWorkFactor
	if q.Without.LongWork {
		long = MinWorkFactor
	}
	timely := a.timely(now, work, trips, long)
	if timely != b.timely(now, work, trips, long) {
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
