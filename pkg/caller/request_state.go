package caller

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
)

// requestState combines the results of all submissions of one request into one outcome.
type requestState struct {
	c       *Client
	r       Request
	ticket  string
	backoff time.Duration
	// unresolved is true while an earlier submission may have run the work, or may still run it.
	unresolved bool
	result     Result
}

// ensureTicket obtains a ticket if one is needed; false means that ctx ended first.
func (f *requestState) ensureTicket(ctx context.Context) bool {
	for ctx.Err() == nil {
		if f.r.Protection != ProtectionTicket || f.ticket != "" {
			return true
		}
		t, err := f.c.ticket(ctx)
		if err == nil {
			f.ticket = t
			return true
		}
		if f.c.o.Sleep(ctx, f.nextBackoff()) != nil {
			return false
		}
	}
	return false
}

// recordSubmission adds the result of a submission; true means that the request has its final outcome.
func (f *requestState) recordSubmission(s submission) bool {
	f.storeResponse(s)
	if s.isAnswered() {
		f.result.Outcome = OutcomeRan
		f.result.Complete = true
		return true
	}
	if s.run == request.RunYes {
		f.result.Outcome = OutcomeRan
		return true
	}
	f.unresolved = f.unresolved || s.mayHaveRun()
	switch f.r.Protection {
	case ProtectionTicket:
		return f.recordTicketSubmission(s)
	case ProtectionKey:
		return f.recordKeySubmission(s)
	}
	return f.unresolved && !f.r.isIdempotent() && f.setUnknown()
}

// recordTicketSubmission handles a refusal of a ticket. Run "no" is final for all submissions of the ticket, so the
// work may continue with a new one. So may it when the outcome is unknown but no submission of the ticket can have run.
func (f *requestState) recordTicketSubmission(s submission) bool {
	switch {
	case s.run == refusal.RunNo:
		f.unresolved = false
		f.ticket = ""
	case s.run == refusal.RunUnknown && !f.unresolved:
		f.ticket = ""
	case s.run == refusal.RunUnknown && isFinal(s.reason):
		return f.setUnknown()
	}
	return false
}

// recordKeySubmission handles a refusal of a key. A repeat of the key finds the ticket of earlier submissions, so only
// a lost outcome is final. Run "no" holds for earlier submissions too, because none with a lower attempt number can
// start after it.
func (f *requestState) recordKeySubmission(s submission) bool {
	if s.run == refusal.RunNo {
		f.unresolved = false
	}
	return s.run == refusal.RunUnknown && f.unresolved && isFinal(s.reason) && f.setUnknown()
}

// isFinal reports whether repeats can't reveal the outcome.
func isFinal(reason refusal.Reason) bool {
	switch reason {
	case refusal.ReasonTicketGone, refusal.ReasonTargetFailed, refusal.ReasonTicketUnknown, refusal.ReasonCancelled:
		return true
	}
	return false
}

func (f *requestState) setUnknown() bool {
	f.result.Outcome = OutcomeUnknown
	return true
}

func (f *requestState) storeResponse(s submission) {
	if s.err != nil {
		return
	}
	f.result.Status = s.status
	f.result.Header = s.header
	f.result.Body = s.body
	f.result.Reason = string(s.reason)
	f.result.Record = s.header.Get(request.HeaderRecord)
	f.result.RetryAfter = s.retryAfter
}

// waitToRetry waits before the next submission: as long as the service asks, or with exponential backoff. It returns an
// error at once if the deadline would pass first.
func (f *requestState) waitToRetry(ctx context.Context, s submission) error {
	d := f.nextBackoff()
	if s.retryAfter > 0 {
		d = f.c.jitter(s.retryAfter)
	}
	if deadline, ok := ctx.Deadline(); ok && f.c.o.Now().Add(d).After(deadline) {
		return context.DeadlineExceeded
	}
	return f.c.o.Sleep(ctx, d)
}

func (f *requestState) nextBackoff() time.Duration {
	d := f.backoff
	f.backoff = min(2*f.backoff, maxBackoff)
	return f.c.jitter(d)
}

// finish returns the result when no further submission is made. It cancels a ticket whose work may still run.
func (f *requestState) finish() Result {
	f.result.Outcome = OutcomeNotRun
	if !f.unresolved {
		return f.result
	}
	if f.r.Protection == ProtectionTicket && f.c.cancel(f.ticket) {
		return f.result
	}
	f.result.Outcome = OutcomeUnknown
	return f.result
}
