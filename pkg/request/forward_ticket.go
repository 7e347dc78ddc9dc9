package request

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// forwardTicket passes a submission to the issuer of its ticket.
func (s *Server) forwardTicket(u *submission) {
	if u.hops > 0 {
		s.refuseTicket(u, issuerGone(refusal.RunNo, "the ticket belongs to another agent"))
		return
	}
	ctx, cancel := context.WithCancelCause(u.r.Context())
	defer cancel(nil)
	late := time.AfterFunc(u.deadline.Add(2*s.o.Grace).Sub(s.o.Now()), func() { cancel(errDeadline) })
	defer late.Stop()
	u.stream()
	res, f := s.askIssuer(ctx, u)
	if f != nil {
		s.refuseTicket(u, f)
		return
	}
	defer res.Body.Close()
	late.Stop()
	s.passAnswer(u, res)
}

// askIssuer sends the submission. Sending it again is safe as long as the issuer's memory decides.
func (s *Server) askIssuer(ctx context.Context, u *submission) (*http.Response, *Refusal) {
	maybeSent := false
	for range issuerAttempts {
		p, ok := s.o.Peers.Find(u.ticket.Issuer)
		if !ok {
			break
		}
		s.logPlacement(u.r, "forward", p.Agent, "issuer of the ticket")
		res, sent, err := send(s.peers, s.toPeer(ctx, u, p, hopTicket))
		if err == nil {
			s.learn(p, res)
			return res, nil
		}
		s.loads.unusable(s.o.Now(), p.Agent)
		maybeSent = maybeSent || sent
		if ctx.Err() != nil || !u.body.replayable() {
			break
		}
	}
	return nil, s.issuerFailure(ctx, maybeSent)
}

func (s *Server) issuerFailure(ctx context.Context, maybeSent bool) *Refusal {
	submission := refusal.RunNo
	if maybeSent {
		submission = ""
	}
	if context.Cause(ctx) == errDeadline {
		f := tooLate()
		f.Submission = submission
		return f
	}
	return issuerGone(submission, "the issuing agent can't be reached")
}

// passAnswer passes the issuer's answer on, whole, or cut so that the caller sees it.
func (s *Server) passAnswer(u *submission, res *http.Response) {
	if runOf(res) != "" {
		readAnswer(res).send(u.w)
		return
	}
	removeOwnHeaders(res.Header, HeaderRepeated)
	copyHeader(u.w, res)
	fromPeer, toCaller := copyBody(u.w, res, nothing{})
	if fromPeer != nil || toCaller != nil {
		panic(http.ErrAbortHandler)
	}
}

// nothing is an io.Writer that wants no answer.
type nothing struct{}

func (nothing) Write(p []byte) (int, error) { return len(p), nil }
