package request

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// forwardTicket forwards a submission to the issuer of its ticket.
func (s *Server) forwardTicket(u *submission) {
	if u.hops > 0 {
		s.refuseTicket(u, issuerUnavailable(refusal.RunNo, "the ticket belongs to another agent"))
		return
	}
	ctx, cancel := context.WithCancelCause(u.r.Context())
	defer cancel(nil)
	late := time.AfterFunc(u.deadline.Add(2*s.o.Grace).Sub(s.o.Now()), func() { cancel(errDeadline) })
	defer late.Stop()
	u.enableFullDuplex()
	res, f := s.sendToIssuer(ctx, u)
	if f != nil {
		s.refuseTicket(u, f)
		return
	}
	defer res.Body.Close()
	late.Stop()
	s.forwardIssuerResponse(u, res)
}

// sendToIssuer sends the submission to the issuer. Sending it again is safe because the issuer runs a ticket at most
// once.
func (s *Server) sendToIssuer(ctx context.Context, u *submission) (*http.Response, *Refusal) {
	maybeSent := false
	for range issuerAttempts {
		p, ok := s.o.Peers.Find(u.ticket.Issuer)
		if !ok {
			break
		}
		s.logPlacement(u.r, "forward", p.Agent, "issuer of the ticket")
		res, sent, err := send(s.peers, s.peerRequest(ctx, u, p, hopTicket))
		if err == nil {
			s.updateLoad(p, res)
			return res, nil
		}
		s.loads.markUnreachable(s.o.Now(), p.Agent)
		maybeSent = maybeSent || sent
		if ctx.Err() != nil || !u.body.isReplayable() {
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
		f := deadlineExceeded()
		f.Submission = submission
		return f
	}
	return issuerUnavailable(submission, "the issuing agent can't be reached")
}

// forwardIssuerResponse copies the issuer's response to the caller. If the response is truncated, the caller's
// connection is aborted so that the caller can see it.
func (s *Server) forwardIssuerResponse(u *submission, res *http.Response) {
	if runOf(res) != "" {
		readRelayed(res).send(u.w)
		return
	}
	removeOwnHeaders(res.Header, HeaderRepeated)
	copyHeader(u.w, res)
	fromPeer, toCaller := copyBody(u.w, res, discardWriter{})
	if fromPeer != nil || toCaller != nil {
		panic(http.ErrAbortHandler)
	}
}

// discardWriter is an io.Writer for responses that are not cached.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
