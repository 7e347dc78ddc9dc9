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
	ticket   *ticket.Ticket
	inflight *inflight

	work     *limit.Work
	steers   int
	attempts int
	failure  *Refusal
	// mayHaveRun is true once an attempt may have run the work; no later refusal may then say that it did not run.
	mayHaveRun bool
}

// isIdempotent reports whether the work may be sent again after it may have reached a target.
func (u *submission) isIdempotent() bool {
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
		return u.s.limiter.StartNow(now, u.newWork())
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
		if u.r.Context().Err() != nil || u.isCancelled() {
			return u.abandon()
		}
		if next, o := u.steer(d); o != nil {
			return o
		} else if next != nil {
			d = *next
			continue
		}
		if d.Verdict == limit.VerdictRefuse {
			return u.countRefused(u.refuseUnstarted(d))
		}
		u.wait()
		d = u.s.limiter.Poll(u.s.o.Now(), u.work)
	}
}

// refuseUnstarted refuses; a failure of the target explains more than the estimate that followed from it.
func (u *submission) refuseUnstarted(d limit.Decision) *outcome {
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

// abandon ends a submission whose caller is gone; it has not started.
func (u *submission) abandon() *outcome {
	if !u.s.limiter.Leave(u.work) {
		u.releaseSlot(limit.Outcome{Result: limit.ResultIgnored})
	}
	return refused(callerGone())
}

// wait returns when the limiter decided, the caller is gone, or it is time to look again.
func (u *submission) wait() {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-u.work.Wake:
	case <-u.cancelRequested():
	case <-u.r.Context().Done():
	case <-timer.C:
	}
}

// cancelRequested is closed when the caller cancelled the ticket; it is nil for a plain submission.
func (u *submission) cancelRequested() <-chan struct{} {
	if u.inflight == nil {
		return nil
	}
	return u.inflight.cancelRequested
}

func (u *submission) isCancelled() bool {
	select {
	case <-u.cancelRequested():
		return true
	default:
		return false
	}
}

// releaseSlot gives the slot back.
func (u *submission) releaseSlot(o limit.Outcome) {
	u.s.wake(u.s.limiter.Done(u.s.o.Now(), u.work, o), nil)
}

// enableFullDuplex lets a body that is not whole in memory flow while the answer does. After that net/http can't use an HTTP/1.1
// connection again: it panics when a handler returns before it has read such a body.
func (u *submission) enableFullDuplex() {
	if u.body.buffered || u.r.ProtoMajor != 1 {
		return
	}
	u.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(u.w).EnableFullDuplex()
}

// startWork makes the work running; false means that a cancel came first.
func (u *submission) startWork() bool {
	return u.ticket == nil || u.s.book.Start(*u.ticket)
}

// returnToWaiting makes the work waiting again after it was proved not to have begun.
func (u *submission) returnToWaiting() {
	if u.ticket != nil {
		u.s.book.Return(*u.ticket)
	}
}

// workContext returns the context of started work. Work with a ticket goes on when its caller is gone, so that a
// repeat learns its outcome; an explicit cancel ends it.
func (u *submission) workContext() (context.Context, context.CancelCauseFunc) {
	if u.ticket == nil {
		return context.WithCancelCause(u.r.Context())
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(u.r.Context()))
	u.s.inflight.setCancel(u.inflight, cancel)
	unlink := context.AfterFunc(u.s.ctx, func() { cancel(errClosed) })
	return ctx, func(cause error) {
		unlink()
		cancel(cause)
	}
}

// orphanGraceFactor is how many times Options.Grace the answer of a ticket may go on when nobody reads it.
const orphanGraceFactor = 10

// limitOrphan ends an answer that stalls after its caller is gone: it would keep its slot for ever. The work of a plain
// submission ends with its caller anyway.
func (u *submission) limitOrphan(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(u.r.Context(), func() {
		time.AfterFunc(orphanGraceFactor*u.s.o.Grace, func() { cancel(errOrphaned) })
	})
}

// isRepeatable reports whether the work may be sent once more after it may have reached a target.
func (u *submission) isRepeatable() bool {
	return u.isIdempotent() && u.body.isReplayable() && !u.steered && u.attempts < maxAttempts
}

// classifySentFailure classifies a request that may have reached its target but got no answer.
func (u *submission) classifySentFailure(ctx context.Context, err error) *outcome {
	u.mayHaveRun = true
	cause := context.Cause(ctx)
	if cause == errDeadline {
		return refused(deadlineExceeded())
	}
	if cause != nil {
		return refused(callerGoneRunning(cause))
	}
	if !u.isRepeatable() {
		return refused(responseLost(err))
	}
	if !u.s.budget.Withdraw() {
		return refused(retryBudgetSpent(err))
	}
	u.failure = responseLost(err)
	return nil
}

// correctRunState corrects a refusal that speaks only of the last attempt.
func (u *submission) correctRunState(o *outcome) *outcome {
	if !u.mayHaveRun || o.runState() != refusal.RunNo {
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

// recordOutcome puts the outcome into the book before anybody is told.
func (u *submission) recordOutcome(o *outcome) {
	if u.ticket == nil {
		return
	}
	defer u.s.inflight.finish(u.ticket.Sequence)
	switch o.runState() {
	case refusal.RunNo:
		u.s.book.Withdraw(u.s.o.Now(), *u.ticket)
	case refusal.RunUnknown:
		u.s.book.Lose(*u.ticket)
	default:
		u.s.book.Finish(*u.ticket, o.status)
		u.s.responses.put(u.ticket.Sequence, u.inflight.response)
	}
}
