package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// Limits of an idempotency key, in bytes. Short keys of different callers might collide.
const (
	minKeyLength = 16
	maxKeyLength = 255
	// maxReplaces bounds how often one submission replaces a claim whose ticket never runs.
	maxReplaces = 2
)

// serveClaim binds the caller's key to one ticket and runs that ticket.
func (s *Server) serveClaim(u *submission, key string) {
	if len(key) < minKeyLength || len(key) > maxKeyLength {
		s.refuse(u.w, u.r, malformed(HeaderKey+" must have 16 to 255 characters"))
		return
	}
	name := s.claims.name(key)
	tickets, err := s.book.Issue(s.o.Now(), 1)
	if err != nil {
		s.refuseClaim(u, name, err)
		return
	}
	offered := claim{ticket: tickets[0], attempt: attemptOf(u.r)}
	held, err := s.bind(u, name, offered)
	if err != nil {
		s.claimFailed(u, name, offered, err)
		return
	}
	if held.ticket != offered.ticket {
		s.book.Cancel(s.o.Now(), offered.ticket)
	}
	s.serveTicket(u, held.ticket)
}

// bind returns the claim of the key: the offered claim, or an earlier one. An earlier claim whose ticket never runs is
// replaced by the offered claim.
func (s *Server) bind(u *submission, name string, offered claim) (claim, error) {
	ctx := u.r.Context()
	held, err := s.claims.claim(ctx, name, offered)
	for range maxReplaces {
		if err != nil || held.ticket == offered.ticket || !s.canReplace(u, held, offered) {
			break
		}
		held, err = s.claims.replace(ctx, held, offered)
	}
	return held, err
}

// attemptOf returns the caller's attempt number; 0 when the caller doesn't count attempts.
func attemptOf(r *http.Request) uint64 {
	n, err := strconv.ParseUint(r.Header.Get(HeaderAttempt), 10, 31)
	if err != nil {
		return 0
	}
	return n
}

// claimFailed cancels the offered ticket before it refuses: the claim may be stored, but its ticket must never run.
func (s *Server) claimFailed(u *submission, name string, offered claim, err error) {
	if s.book.Cancel(s.o.Now(), offered.ticket).NeverRuns() {
		s.refuseClaim(u, name, err)
		return
	}
	// Another submission found the stored claim and started its ticket.
	s.serveTicket(u, offered.ticket)
}

// refuseClaim refuses a request whose earlier submissions are unknown: only a first submission is known not to have
// run.
func (s *Server) refuseClaim(u *submission, name string, err error) {
	run := refusal.RunNo
	if attemptOf(u.r) > 1 {
		run = refusal.RunUnknown
	}
	f := claimUnavailable(err, run)
	f.Request = name
	s.refuse(u.w, u.r, f)
}

// canReplace reports whether the ticket of the stored claim never runs and the offered claim may replace it. The caller
// may already have received run "no", so a submission made before that must not start afterwards.
func (s *Server) canReplace(u *submission, held, offered claim) bool {
	status, ok := s.claimedStatus(u.r.Context(), held.ticket)
	if !ok || status.Run != refusal.RunNo {
		return false
	}
	if held.attempt > 0 && offered.attempt > 0 {
		return offered.attempt > held.attempt
	}
	if status.State != ticket.StateCancelled.String() {
		return true
	}
	return time.Duration(status.EndedMS)*time.Millisecond >= s.o.Now().Sub(u.arrived)
}

func (s *Server) claimedStatus(ctx context.Context, t ticket.Ticket) (TicketStatus, bool) {
	if t.Issuer == s.o.Agent {
		return s.ticketStatus(t), t.Incarnation == s.o.Incarnation
	}
	p, ok := s.o.Peers.Find(t.Issuer)
	if !ok {
		return TicketStatus{}, false
	}
	return s.queryTicketStatus(ctx, p, t)
}
