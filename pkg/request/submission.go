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
	// pollInterval is how often a waiting request checks for a free peer and for its deadline.
	pollInterval = 20 * time.Millisecond
	// maxSteers bounds the number of peers to which one request is offered.
	maxSteers = 4
	// maxAttempts bounds how often an idempotent request is sent to a target.
	maxAttempts = 3
)

// submission is one request, from its arrival to its outcome.
type submission struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	hops     int
	// steered is true at the receiver of hopSteer, which must start the request at once or decline it.
	steered bool
	body    *requestBody
	// ticket and inflight are nil for a plain submission.
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
		return u.s.limiter.TryStart(now, u.newWork())
	}
	return u.s.limiter.Admit(now, u.newWork())
}

// run waits for a slot, here or at a peer, and runs the submission.
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

// refuseUnstarted refuses the submission. A failure of the target takes precedence over the limiter's reason, which is
// only its consequence.
func (u *submission) refuseUnstarted(d limit.Decision) *outcome {
	if u.failure == nil {
		return refused(notAdmitted(d))
	}
	u.failure.RetryAfter = max(u.failure.RetryAfter, d.RetryAfter)
	return refused(u.failure)
}

// countRefused counts a refusal, unless another agent steered the request here and still holds it.
func (u *submission) countRefused(o *outcome) *outcome {
	if !u.steered {
		u.s.counts.add(o)
	}
	return o
}

// abandon ends a submission that has not started and whose caller is gone.
func (u *submission) abandon() *outcome {
	if !u.s.limiter.Leave(u.work) {
		u.releaseSlot(limit.Outcome{Result: limit.ResultIgnored})
	}
	return refused(callerGone())
}

// wait returns when the limiter has decided, the caller is gone, or the poll interval has passed.
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

// cancelRequested is closed when the caller cancels the ticket; it is nil for a plain submission.
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

// releaseSlot returns the slot to the limiter.
func (u *submission) releaseSlot(o limit.Outcome) {
	u.s.wake(u.s.limiter.Done(u.s.o.Now(), u.work, o), nil)
}

// enableFullDuplex lets a body that is not buffered be read while the response is written. The HTTP/1.1 connection is
// closed afterwards: net/http would panic if the handler returned before it has read such a body.
func (u *submission) enableFullDuplex() {
	if u.body.buffered || u.r.ProtoMajor != 1 {
		return
	}
	u.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(u.w).EnableFullDuplex()
}

// startWork marks the ticket's work as running; false means that it was cancelled first.
func (u *submission) startWork() bool {
	return u.ticket == nil || u.s.book.Start(*u.ticket)
}

// returnToWaiting marks the ticket's work as waiting again, once it is certain that it did not begin.
func (u *submission) returnToWaiting() {
	if u.ticket != nil {
		u.s.book.Return(*u.ticket)
	}
}

// workContext returns the context of started work. Work with a ticket continues after its caller is gone, so that a
// repeat gets its outcome, until the ticket is cancelled or the server closes.
func (u *submission) workContext() (context.Context, context.CancelCauseFunc) {
	if u.ticket == nil {
		return context.WithCancelCause(u.r.Context())
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(u.r.Context()))
	u.s.inflightTable.setCancel(u.inflight, cancel)
	unlink := context.AfterFunc(u.s.serverCtx, func() { cancel(errClosed) })
	return ctx, func(cause error) {
		unlink()
		cancel(cause)
	}
}

// orphanGraceFactor times Options.Grace is how long the response of a ticket may continue after its caller is gone.
const orphanGraceFactor = 10

// limitOrphan cancels a response that stalls after its caller is gone, which would otherwise hold its slot forever. The
// work of a plain submission ends with its caller anyway.
func (u *submission) limitOrphan(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(u.r.Context(), func() {
		time.AfterFunc(orphanGraceFactor*u.s.o.Grace, func() { cancel(errOrphaned) })
	})
}

// isRepeatable reports whether the work may be sent again after it may have reached a target.
func (u *submission) isRepeatable() bool {
	return u.isIdempotent() && u.body.isReplayable() && !u.steered && u.attempts < maxAttempts
}

// afterSend returns the outcome of a request that may have reached its target but got no response; nil means that it is
// retried.
func (u *submission) afterSend(ctx context.Context, err error) *outcome {
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

// correctRunState changes the run state of a refusal that covers only the last attempt to unknown, when an earlier
// attempt may have run.
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

// recordOutcome records the outcome in the ticket book before a refusal is sent and before repeats are woken.
func (u *submission) recordOutcome(o *outcome) {
	if u.ticket == nil {
		return
	}
	defer u.s.inflightTable.finish(u.ticket.Sequence)
	switch o.runState() {
	case refusal.RunNo:
		u.s.book.Withdraw(u.s.o.Now(), *u.ticket)
	case refusal.RunUnknown:
		u.s.book.Lose(*u.ticket)
	default:
		u.s.book.Finish(*u.ticket, o.status)
		u.s.responseCache.put(u.ticket.Sequence, u.inflight.reply)
	}
}
