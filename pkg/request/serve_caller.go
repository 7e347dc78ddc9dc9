package request

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// wellKnown is the path prefix of the endpoints for callers (RFC 8615).
const wellKnown = "/.well-known/auburnwood/"

// serveCaller serves one request on a caller's connection.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	removeOwnHeaders(r.Header, HeaderTicket, HeaderAttempt)
	w = &drainResponseWriter{ResponseWriter: w, s: s}
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		s.refuseEarly(w, r, malformed("HTTP/1.0 can't show that an answer is cut"))
		return
	}
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		s.refuseEarly(w, r, malformed("the method "+r.Method+" is not served"))
		return
	}
	if strings.HasPrefix(r.URL.Path, wellKnown) {
		s.serveWellKnown(w, r)
		return
	}
	u, f := s.newSubmission(w, r)
	if f != nil {
		s.refuseEarly(w, r, f)
		return
	}
	s.serve(u)
}

// newSubmission parses the deadline and buffers a small body.
func (s *Server) newSubmission(w http.ResponseWriter, r *http.Request) (*submission, *Refusal) {
	deadline, err := s.deadline(r)
	if err != nil {
		return nil, malformed(err.Error())
	}
	u := &submission{s: s, w: w, r: r, arrived: s.o.Now(), deadline: deadline}
	if u.body, err = newRequestBody(r); err != nil {
		return nil, callerGone()
	}
	return u, nil
}

// deadline returns the time by which the response of a request must have begun.
func (s *Server) deadline(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return s.o.Now().Add(time.Duration(s.defaultDeadline.Load())), nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return time.Time{}, errBadTimeout
	}
	return s.o.Now().Add(min(time.Duration(ms)*time.Millisecond, s.o.MaxTimeout)), nil
}

// serve runs the request by its ticket, by a claim on its key, or plainly.
func (s *Server) serve(u *submission) {
	if text := u.r.Header.Get(HeaderTicket); text != "" {
		t, err := ticket.Parse(text)
		if err != nil {
			s.refuse(u.w, u.r, malformed(err.Error()))
			return
		}
		s.serveTicket(u, t)
		return
	}
	if key := u.r.Header.Get(HeaderKey); key != "" && !u.isIdempotent() {
		s.serveClaim(u, key)
		return
	}
	s.finish(u, u.run())
}

// finish records the outcome and completes the response to the caller. A truncated response aborts the connection, so
// that the caller can see it.
func (s *Server) finish(u *submission, o *outcome) {
	o = u.correctRunState(o)
	u.recordOutcome(o)
	switch {
	case o.refusal != nil:
		if u.ticket != nil {
			o.refusal.Request = u.ticket.ID()
		}
		s.refuse(u.w, u.r, o.refusal)
	case o.relayed != nil:
		o.relayed.send(u.w)
	case o.truncated:
		s.recordIncomplete(u, o)
		panic(http.ErrAbortHandler)
	}
}

// recordIncomplete records a refusal for a response that the target did not complete.
func (s *Server) recordIncomplete(u *submission, o *outcome) {
	if !o.incomplete {
		return
	}
	f := &Refusal{Reason: refusal.ReasonTargetFailed, Status: o.status, Run: refusal.RunUnknown,
		Detail: "the target's answer ended early; the caller's connection was cut"}
	s.record(u.r, f, s.o.Agent)
}
