package caller

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
)

// fold joins the ends of all submissions of one request into one outcome.
type fold struct {
	c       *Client
	r       Request
	ticket  string
	backoff time.Duration
	// open is true while an earlier submission may have run the work, or may still run it.
	open   bool
	result Result
}

// ready gets a ticket when one is needed; false means that the request can't be submitted now.
func (f *fold) ready(ctx context.Context) bool {
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

// add takes the end of a submission; true means that the result is final.
func (f *fold) add(s submission) bool {
	f.note(s)
	if s.answered() {
		f.result.Outcome = OutcomeRan
		f.result.Complete = true
		return true
	}
	if s.run == request.RunYes {
		f.result.Outcome = OutcomeRan
		return true
	}
	f.open = f.open || s.mayHaveRun()
	switch f.r.Protection {
	case ProtectionTicket:
		return f.addTicket(s)
	case ProtectionKey:
		return f.addKey(s)
	}
	return f.open && !f.r.idempotent() && f.unknown()
}

// addTicket: a refusal with run "no" is final for all submissions of the ticket, so that the work may go on with a new
// one. So is an issuer that is gone, when no submission of the ticket can have reached it.
func (f *fold) addTicket(s submission) bool {
	switch {
	case s.run == refusal.RunNo:
		f.open = false
		f.ticket = ""
	case s.run == refusal.RunUnknown && !f.open:
		f.ticket = ""
	case s.run == refusal.RunUnknown && final(s.reason):
		return f.unknown()
	}
	return false
}

// addKey: a repeat of the key finds the ticket of earlier submissions, so that only a lost outcome is final. A refusal
// with run "no" holds for them too, as none with a lower number of attempts can start after it.
func (f *fold) addKey(s submission) bool {
	if s.run == refusal.RunNo {
		f.open = false
	}
	return s.run == refusal.RunUnknown && f.open && final(s.reason) && f.unknown()
}

// final reports whether a repeat can't learn more.
func final(reason refusal.Reason) bool {
	switch reason {
	case refusal.ReasonTicketGone, refusal.ReasonTargetFailed, refusal.ReasonTicketUnknown, refusal.ReasonCancelled:
		return true
	}
	return false
}

func (f *fold) unknown() bool {
	f.result.Outcome = OutcomeUnknown
	return true
}

func (f *fold) note(s submission) {
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

// pause waits before the next submission: as long as the service asks, or with exponential backoff. It returns an error
// at once when the deadline would pass first.
func (f *fold) pause(ctx context.Context, s submission) error {
	d := f.nextBackoff()
	if s.retryAfter > 0 {
		d = f.c.spread(s.retryAfter)
	}
	if deadline, ok := ctx.Deadline(); ok && f.c.o.Now().Add(d).After(deadline) {
		return context.DeadlineExceeded
	}
	return f.c.o.Sleep(ctx, d)
}

func (f *fold) nextBackoff() time.Duration {
	d := f.backoff
	f.backoff = min(2*f.backoff, maxBackoff)
	return f.c.spread(d)
}

// end is the outcome when no further submission is made.
func (f *fold) end() Result {
	f.result.Outcome = OutcomeNotRun
	if !f.open {
		return f.result
	}
	if f.r.Protection == ProtectionTicket && f.c.cancel(f.ticket) {
		return f.result
	}
	f.result.Outcome = OutcomeUnknown
	return f.result
}
