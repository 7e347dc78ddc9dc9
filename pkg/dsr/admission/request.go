package admission

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Request is a request that waits for the target: the opening packet of a new flow, or a request on an open flow.
type Request struct {
	Key flow.Key
	// Open is set for a request on a flow that the target holds.
	Open bool
	// InTime is set when the request could be answered in the promised time as it was queued.
	InTime bool
	// Arrived is when its first packet reached the system, as far as is known.
	Arrived time.Time
	// Aim is the response time promised to its caller, 0 when there is none; Timeout is how long the caller waits.
	Aim     time.Duration
	Timeout time.Duration
	// Priority is the rank of its route; 0 is the highest.
	Priority int
	// LastSent is when the caller last sent the packet; NextDue is when its next retransmission is due, zero when that
	// is not known.
	LastSent time.Time
	NextDue  time.Time
}

// RecordSent records a transmission of the packet, sent age after the first one. The next one is due after a further
// next; 0 means that this is not known. Transmissions may arrive in any order.
func (r *Request) RecordSent(age, next time.Duration) {
	sentAt := r.Arrived.Add(age)
	if !r.LastSent.IsZero() && sentAt.Before(r.LastSent) {
		return
	}
	r.LastSent, r.NextDue = sentAt, time.Time{}
	if next > 0 {
		r.NextDue = sentAt.Add(next)
	}
}

// deadline is when the caller gives up.
func (r Request) deadline() time.Time { return r.Arrived.Add(r.Timeout) }

// timely reports whether the answer can still come in the promised time when the flow is offered now.
func (r Request) timely(now time.Time, work, roundTrips time.Duration, long float64) bool {
	return !now.Add(roundTrips + r.margin(work, long)).After(r.Arrived.Add(r.Aim))
}

// Margin returns the time set aside for the work of one request with a promised time.
func Margin(work, aim time.Duration) time.Duration { return Request{Aim: aim}.margin(work, LongWork) }

// margin is the time set aside for the work of one request: that of a long one, unless that would leave less than
// half of the promised time for waiting.
func (r Request) margin(work time.Duration, long float64) time.Duration {
	return min(time.Duration(long*float64(work)), max(r.Aim/2, time.Duration(MinWork*float64(work))))
}

// expired reports whether the caller will have left before an answer when the work begins now.
func (r Request) expired(now time.Time, work time.Duration) bool {
	return now.Add(work).After(r.deadline())
}

// silent reports whether a retransmission of the opening packet is overdue.
func (r Request) silent(now time.Time) bool {
	return !r.NextDue.IsZero() && now.After(r.NextDue.Add(RetransmissionSlack))
}

// dueAt is when a request on an open flow has to be handed to the target, so that its answer can come in the promised
// time, or before its caller's timeout when there is none. Backlog is the time that the target needs for what it has.
func (r Request) dueAt(work, roundTrips, backlog time.Duration, long float64) time.Time {
	if r.Aim > 0 {
		return r.Arrived.Add(r.Aim - r.margin(work, long) - roundTrips - backlog)
	}
	return r.deadline().Add(-work - roundTrips - backlog)
}
