package request

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// issuerAttempts bounds how often a submission is sent to its ticket's issuer. Repeats are safe because the issuer runs
// a ticket at most once.
const issuerAttempts = 2

// serveTicket runs the work of a ticket, or forwards it to the ticket's issuer.
func (s *Server) serveTicket(u *submission, t ticket.Ticket) {
	u.ticket = &t
	if t.Issuer != s.o.Agent {
		s.forwardTicket(u)
		return
	}
	if t.Incarnation != s.o.Incarnation {
		s.refuseTicket(u, issuerUnavailable(refusal.RunNo, "the issuing agent was restarted"))
		return
	}
	own := newInflight()
	res, holder := s.inflightTable.spend(s.book, s.o.Now(), t, fingerprint(u.r), own)
	if res.Won {
		u.inflight = own
		defer s.releaseTicket(t)
		s.finish(u, u.run())
		return
	}
	s.serveRepeat(u, res, holder)
}

// releaseTicket ends a ticket whose submission panicked. After a normal end it has no effect.
func (s *Server) releaseTicket(t ticket.Ticket) {
	s.book.Lose(t)
	s.book.Withdraw(s.o.Now(), t)
	s.inflightTable.finish(t.Sequence)
}

// serveRepeat responds to a submission of a ticket that another submission holds or held.
func (s *Server) serveRepeat(u *submission, res ticket.Result, holder *inflight) {
	if res.DifferentRequest {
		s.refuseTicket(u, &Refusal{Reason: refusal.ReasonTicketSpent, Status: http.StatusUnprocessableEntity,
			Detail: "the ticket was used for another request", Run: refusal.RunUnknown, Submission: refusal.RunNo})
		return
	}
	if holder != nil && !u.waitForHolder(holder) {
		s.refuseTicket(u, &Refusal{Reason: refusal.ReasonTicketSpent, Status: http.StatusConflict,
			Detail: "the ticket's work goes on", Run: refusal.RunUnknown, Submission: refusal.RunNo,
			RetryAfter: defaultRetryAfter})
		return
	}
	if holder != nil && holder.reply.isComplete() {
		holder.reply.send(u.w)
		return
	}
	if kept := s.responseCache.get(u.ticket.Sequence); kept != nil {
		kept.send(u.w)
		return
	}
	res = s.book.Look(s.o.Now(), *u.ticket)
	if res.State == ticket.StateRan {
		s.sendCompleted(u, res.Status)
		return
	}
	s.refuseTicket(u, stateRefusal(res.State))
}

// waitForHolder waits until the ticket's holder has finished; false means that the deadline passed or the caller
// disconnected first.
func (u *submission) waitForHolder(holder *inflight) bool {
	timer := time.NewTimer(u.deadline.Sub(u.s.o.Now()))
	defer timer.Stop()
	select {
	case <-holder.done:
		return true
	case <-timer.C:
	case <-u.r.Context().Done():
	}
	return false
}

// stateRefusal returns the refusal for a ticket whose state does not let it run.
func stateRefusal(state ticket.State) *Refusal {
	f := &Refusal{Status: http.StatusConflict, Run: refusal.RunUnknown, Detail: "the ticket is " + state.String()}
	if state.NeverRuns() {
		f.Run = refusal.RunNo
	}
	switch state {
	case ticket.StateCancelled:
		f.Reason = refusal.ReasonCancelled
		f.Detail = "the ticket was cancelled or refused before"
	case ticket.StateExpired:
		f.Reason = refusal.ReasonTicketExpired
	case ticket.StateLost:
		f.Reason = refusal.ReasonTargetFailed
		f.Detail = "the ticket's work was started and its outcome is not known"
	case ticket.StateWaiting, ticket.StateRunning:
		f.Reason = refusal.ReasonTicketSpent
		f.RetryAfter = defaultRetryAfter
	default:
		f.Reason = refusal.ReasonTicketUnknown
		if state == ticket.StateForgotten {
			f.Submission = refusal.RunNo
		}
	}
	return f
}

func (s *Server) refuseTicket(u *submission, f *Refusal) {
	f.Request = u.ticket.ID()
	s.refuse(u.w, u.r, f)
}

// fingerprint distinguishes requests that use the same ticket. It is never 0.
func fingerprint(r *http.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get("Authorization")} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}
