package request

import (
	"context"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// Bounds of a caller's key. A short key would meet the key of another caller.
const (
	minKeyLength = 16
	maxKeyLength = 255
	// maxReplaces bounds how often one submission replaces tickets that never run.
	maxReplaces = 2
)

// serveClaim binds the caller's key to one ticket and runs that ticket.
func (s *Server) serveClaim(u *submission, key string) {
	if len(key) < minKeyLength || len(key) > maxKeyLength {
		s.refuse(u.w, u.r, malformed(HeaderKey+" must have 16 to 255 characters"))
		return
	}
	offered, err := s.offerTicket()
	if err != nil {
		s.claimFailed(u, key, ticket.Ticket{}, err)
		return
	}
	o, held, err := s.claims.claim(u.r.Context(), s.claims.name(key), offered)
	for range maxReplaces {
		if err != nil || held == offered || !s.replaceable(u, held) {
			break
		}
		o, held, err = s.claims.replace(u.r.Context(), o, offered)
	}
	if err != nil {
		s.claimFailed(u, key, offered, err)
		return
	}
	s.runClaim(u, offered, held)
}

// offerTicket issues the ticket that the key is to be bound to.
func (s *Server) offerTicket() (ticket.Ticket, error) {
	tickets, err := s.book.Issue(s.o.Now(), 1)
	if err != nil {
		return ticket.Ticket{}, err
	}
	return tickets[0], nil
}

// claimFailed cancels the offered ticket before it refuses: the claim may be stored, but its ticket never runs. Only a
// first submission of the key is known not to have run.
func (s *Server) claimFailed(u *submission, key string, offered ticket.Ticket, err error) {
	run := refusal.RunNo
	if attempt, perr := strconv.Atoi(u.r.Header.Get(HeaderAttempt)); perr == nil && attempt > 1 {
		run = refusal.RunUnknown
	}
	if !s.unrunnable(offered) {
		run = refusal.RunUnknown
	}
	f := claimStore(err, run)
	f.Request = s.claims.name(key)
	s.refuse(u.w, u.r, f)
}

// unrunnable makes an offered ticket unusable. It fails when another submission found the claim and started it.
func (s *Server) unrunnable(offered ticket.Ticket) bool {
	return offered.Sequence == 0 || s.book.Cancel(s.o.Now(), offered).NeverRuns()
}

// runClaim submits the ticket of the key. An offered ticket that was not bound is made unusable.
func (s *Server) runClaim(u *submission, offered, held ticket.Ticket) {
	if held != offered {
		s.book.Cancel(s.o.Now(), offered)
	}
	s.serveTicket(u, held)
}

// replaceable asks the issuer of a claimed ticket whether it never runs, and whether that was so before this submission
// came. A submission that is older than the cancel must not start: its caller may have been told that nothing ran.
func (s *Server) replaceable(u *submission, t ticket.Ticket) bool {
	status, ok := s.claimedStatus(u.r.Context(), t)
	if !ok || status.Run != refusal.RunNo {
		return false
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
	return s.askStatus(ctx, p, t)
}
