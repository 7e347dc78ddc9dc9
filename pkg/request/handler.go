package request

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 10 * time.Minute
)

// serveCaller handles one request of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	removeOwnHeaders(r.Header, HeaderTicket, HeaderAttempt)
	deadline, err := s.deadline(r)
	if err != nil {
		s.refuse(w, r, malformed(err.Error()))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(s.o.Grace))
	defer cancel()
	_ = http.NewResponseController(w).EnableFullDuplex()
	res, sent, err := send(s.target, s.outgoing(ctx, r, deadline))
	if err != nil {
		s.refuse(w, r, targetFailure(err, sent))
		return
	}
	defer res.Body.Close()
	removeOwnHeaders(res.Header)
	copyHeader(w, res)
	if err := copyBody(w, res, io.Discard); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// deadline returns when the answer of a request must have begun.
func (s *Server) deadline(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return s.o.Now().Add(s.o.Deadline), nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return time.Time{}, errBadTimeout
	}
	return s.o.Now().Add(min(time.Duration(ms)*time.Millisecond, s.o.MaxTimeout)), nil
}

// outgoing returns the request as the target gets it.
func (s *Server) outgoing(ctx context.Context, r *http.Request, deadline time.Time) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.o.Target.String()
	out.Trailer = r.Trailer
	removeConnectionHeaders(out.Header)
	removeOwnHeaders(out.Header)
	hideReplayHeaders(out.Header)
	left := max(deadline.Sub(s.o.Now()), 0)
	out.Header.Set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if caller := callerOf(r.Context()).Source; caller.IsValid() {
		out.Header.Set("X-Forwarded-For", caller.Addr().String())
	}
	if r.ContentLength == 0 {
		out.Body = nil
	}
	return out
}

func malformed(detail string) *Refusal {
	return &Refusal{Reason: refusal.ReasonMalformed, Status: http.StatusBadRequest, Detail: detail, Run: refusal.RunNo}
}

func targetFailure(err error, sent bool) *Refusal {
	if !sent {
		return &Refusal{Reason: refusal.ReasonTargetRefused, Status: http.StatusServiceUnavailable,
			Detail: "the target took no connection: " + err.Error(), Run: refusal.RunNo, RetryAfter: time.Second}
	}
	return &Refusal{Reason: refusal.ReasonTargetFailed, Status: http.StatusBadGateway,
		Detail: "the target did not answer: " + err.Error(), Run: refusal.RunUnknown}
}
