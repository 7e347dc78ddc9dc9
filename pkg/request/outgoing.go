package request

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// outgoingRequest returns the request to send to a target or a peer at host.
func (s *Server) outgoingRequest(ctx context.Context, u *submission, host string) *http.Request {
	out := u.r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = host
	removeConnectionHeaders(out.Header)
	removeOwnHeaders(out.Header)
	out.Header.Del("Expect")
	out.Header.Set(HeaderTimeout, milliseconds(u.deadline.Sub(s.o.Now())))
	if caller := callerOf(u.r.Context()).Source; caller.IsValid() {
		out.Header.Set("X-Forwarded-For", caller.Addr().String())
	}
	u.body.attach(out)
	DisableTransportRetry(out)
	return out
}

// peerRequest returns the request to send to another agent.
func (s *Server) peerRequest(ctx context.Context, u *submission, p Peer, kind hopKind) *http.Request {
	out := s.outgoingRequest(ctx, u, p.Control.String())
	s.setHopHeaders(out.Header, u.r.Context(), kind, u.hops+1)
	if kind == hopTicket {
		out.Header.Set(HeaderTicket, u.ticket.String())
	}
	if !u.body.buffered {
		out.Header.Set("Expect", "100-continue")
	}
	return out
}

func (s *Server) setHopHeaders(h http.Header, ctx context.Context, kind hopKind, hops int) {
	key := callerOf(ctx)
	h.Set(headerHop, strconv.Itoa(hops))
	h.Set(headerKind, string(kind))
	h.Set(headerService, s.o.Service)
	h.Set(headerCaller, key.Source.String())
	h.Set(headerDestination, key.Destination.String())
}

// milliseconds formats a duration for HeaderTimeout; a negative duration is 0.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d, 0).Milliseconds(), 10)
}
