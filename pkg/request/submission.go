package request

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

const (
	// pollInterval is how often a waiting request looks for a free peer and at its deadline.
	pollInterval = 20 * time.Millisecond
	// maxSteers bounds the peers that one request is offered to.
	maxSteers = 4
	// maxAttempts bounds how often an idempotent request is sent.
	maxAttempts = 3
)

// submission is one request on its way to a slot.
type submission struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	hops     int
	// steered is true at the receiver of hopSteer: start now or refuse.
	steered bool
	body    *requestBody
	// ticket and flight are nil for a plain submission.
	ticket *ticket.Ticket
	flight *flight

	work     *limit.Work
	steers   int
	attempts int
	failure  *Refusal
	// exposed is true once an attempt may have run the work; no later refusal may then say that it did not run.
	exposed bool
}

// idempotent reports whether the work may be sent again after it may have reached a target.
func (u *submission) idempotent() bool {
	if u.ticket != nil {
		return false
	}
	switch u.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (u *submission) newWork() *limit.Work {
	caller := callerOf(u.r.Context()).Source.Addr().String()
	u.work = &limit.Work{Caller: caller, Deadline: u.deadline, Wake: make(chan struct{})}
	return u.work
}

// admit asks the limiter for a slot.
func (u *submission) admit() limit.Decision {
	now := u.s.o.Now()
	if u.steered {
		return u.s.limiter.TryStart(now, u.newWork())
	}
	return u.s.limiter.Admit(now, u.newWork())
}

// run carries the submission to its end.
func (u *submission) run() *outcome {
	u.s.budget.Deposit()
	d := u.admit()
	for {
		u.s.wake(d.Started, d.Refused)
		if d.Verdict == limit.VerdictStart {
			o := u.runLocal()
			if o != nil {
				u.s.counts.add(o)
				return o
			}
			d = u.admit()
			continue
		}
		if u.r.Context().Err() != nil || u.stopped() {
			return u.giveUp()
		}
		if next, o := u.steer(d); o != nil {
			return o
		} else if next != nil {
			d = *next
			continue
		}
		if d.Verdict == limit.VerdictRefuse {
			return u.countRefused(u.notStarted(d))
		}
		u.wait()
		d = u.s.limiter.Poll(u.s.o.Now(), u.work)
	}
}

// notStarted refuses; a failure of the target explains more than the estimate that followed from it.
func (u *submission) notStarted(d limit.Decision) *outcome {
	if u.failure == nil {
		return refused(notAdmitted(d))
	}
	u.failure.RetryAfter = max(u.failure.RetryAfter, d.RetryAfter)
	return refused(u.failure)
}

// countRefused counts a refusal, unless another agent asked and so still has the request.
func (u *submission) countRefused(o *outcome) *outcome {
	if !u.steered {
		u.s.counts.add(o)
	}
	return o
}

// giveUp ends a submission whose caller is gone; it has not started.
func (u *submission) giveUp() *outcome {
	if !u.s.limiter.Leave(u.work) {
		u.done(limit.Outcome{Result: limit.ResultIgnored})
	}
	return refused(callerGone())
}

// wait returns when the limiter decided, the caller is gone, or it is time to look again.
func (u *submission) wait() {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-u.work.Wake:
	case <-u.stop():
	case <-u.r.Context().Done():
	case <-timer.C:
	}
}

// stop is closed when the caller cancelled the ticket; it is nil for a plain submission.
func (u *submission) stop() <-chan struct{} {
	if u.flight == nil {
		return nil
	}
	return u.flight.stop
}

func (u *submission) stopped() bool {
	select {
	case <-u.stop():
		return true
	default:
		return false
	}
}

// done gives the slot back.
func (u *submission) done(o limit.Outcome) {
	u.s.wake(u.s.limiter.Done(u.s.o.Now(), u.work, o), nil)
}

// stream lets a body that is not whole in memory flow while the answer does. After that net/http can't use an HTTP/1.1
// connection again: it panics when a handler returns before it has read such a body.
func (u *submission) stream() {
	if u.body.whole || u.r.ProtoMajor != 1 {
		return
	}
	u.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(u.w).EnableFullDuplex()
}

// begin makes the work running; false means that a cancel came first.
func (u *submission) begin() bool {
	return u.ticket == nil || u.s.book.Start(*u.ticket)
}

// back makes the work waiting again after it was proved not to have begun.
func (u *submission) back() {
	if u.ticket != nil {
		u.s.book.Return(*u.ticket)
	}
}

// startContext returns the context of started work. Work with a ticket goes on when its caller is gone, so that a
// repeat learns its outcome; an explicit cancel ends it.
func (u *submission) startContext() (context.Context, context.CancelCauseFunc) {
	if u.ticket == nil {
		return context.WithCancelCause(u.r.Context())
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(u.r.Context()))
	u.s.flights.setCancel(u.flight, cancel)
	unlink := context.AfterFunc(u.s.life, func() { cancel(errClosed) })
	return ctx, func(cause error) {
		unlink()
		cancel(cause)
	}
}

// orphanGraces is how many times Options.Grace the answer of a ticket may go on when nobody reads it.
const orphanGraces = 10

// boundOrphan ends an answer that stalls after its caller is gone: it would keep its slot for ever. The work of a plain
// submission ends with its caller anyway.
func (u *submission) boundOrphan(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(u.r.Context(), func() {
		time.AfterFunc(orphanGraces*u.s.o.Grace, func() { cancel(errOrphan) })
	})
}

// repeatable reports whether the work may be sent once more after it may have reached a target.
func (u *submission) repeatable() bool {
	return u.idempotent() && u.body.replayable() && !u.steered && u.attempts < maxAttempts
}

// sent classifies a request that may have reached its target but got no answer.
func (u *submission) sent(ctx context.Context, err error) *outcome {
	u.exposed = true
	cause := context.Cause(ctx)
	if cause == errDeadline {
		return refused(tooLate())
	}
	if cause != nil {
		return refused(callerGoneRunning(cause))
	}
	if !u.repeatable() {
		return refused(notAnswered(err))
	}
	if !u.s.budget.Withdraw() {
		return refused(noRetryLeft(err))
	}
	u.failure = notAnswered(err)
	return nil
}

// honest corrects a refusal that speaks only of the last attempt.
func (u *submission) honest(o *outcome) *outcome {
	if !u.exposed || o.runState() != refusal.RunNo {
		return o
	}
	f := o.refusal
	if f == nil {
		f = notAdmitted(limit.Decision{Reason: refusal.ReasonAllFull})
	}
	f.Run = refusal.RunUnknown
	f.Detail = "an earlier attempt may have run; then: " + f.Detail
	return refused(f)
}

// conclude puts the outcome into the book before anybody is told.
func (u *submission) conclude(o *outcome) {
	if u.ticket == nil {
		return
	}
	defer u.s.flights.land(u.ticket.Sequence)
	switch o.runState() {
	case refusal.RunNo:
		u.s.book.Withdraw(u.s.o.Now(), *u.ticket)
	case refusal.RunUnknown:
		u.s.book.Lose(*u.ticket)
	default:
		u.s.book.Finish(*u.ticket, o.status)
		u.s.answers.put(u.ticket.Sequence, u.flight.answer)
	}
}
