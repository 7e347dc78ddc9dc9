package request

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// serveControl serves one request of another agent. Every response carries the load.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	r = r.WithContext(withCaller(r.Context(), hopCaller(r)))
	w = &drainResponseWriter{ResponseWriter: w, s: s}
	w.Header().Set(headerLoad, encodeLoad(s.Load()))
	kind := hopKind(r.Header.Get(headerKind))
	if kind == hopLoad {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	hops, err := strconv.ParseUint(r.Header.Get(headerHop), 10, 8)
	if f := s.checkHop(r, int(hops), err); f != nil {
		s.refuseEarly(w, r, f)
		return
	}
	if strings.HasPrefix(r.URL.Path, wellKnown) {
		s.serveHopWellKnown(w, r, kind)
		return
	}
	removeOwnHeaders(r.Header, HeaderTicket)
	if kind == hopSteer {
		r.Header.Del(HeaderTicket)
	}
	s.serveHop(w, r, kind, int(hops))
}

// serveHop runs a request that another agent forwarded.
func (s *Server) serveHop(w http.ResponseWriter, r *http.Request, kind hopKind, hops int) {
	if kind == hopSteer && s.Load().Busy >= s.Load().Limit {
		s.refuseUnrecorded(w, refusal.ReasonAllFull)
		return
	}
	u, f := s.newSubmission(w, r)
	if f != nil {
		s.refuseEarly(w, r, f)
		return
	}
	u.hops = hops
	u.steered = kind == hopSteer
	if u.steered {
		s.finishSteered(u)
		return
	}
	s.serve(u)
}

// finishSteered declines without a record: the agent that steered the request still holds it, and records its outcome.
func (s *Server) finishSteered(u *submission) {
	o := u.correctRunState(u.run())
	if o.refusal != nil && o.refusal.Run == refusal.RunNo && o.refusal.Reason != refusal.ReasonTargetShed {
		s.refuseUnrecorded(u.w, o.refusal.Reason)
		return
	}
	s.finish(u, o)
}

func (s *Server) refuseUnrecorded(w http.ResponseWriter, reason refusal.Reason) {
	h := w.Header()
	h.Set(headerLoad, encodeLoad(s.Load()))
	h.Set(HeaderRun, string(refusal.RunNo))
	h.Set(HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) checkHop(r *http.Request, hops int, err error) *Refusal {
	if err != nil || hops == 0 {
		return malformed(headerHop + " must be a whole number from 1")
	}
	if asked := r.Header.Get(headerService); asked != s.o.Service {
		return wrongService(asked)
	}
	if hops > maxHops {
		return tooManyHops()
	}
	return nil
}

// hopCaller returns the caller's flow key that the first agent set.
func hopCaller(r *http.Request) flow.Key {
	source, err := netip.ParseAddrPort(r.Header.Get(headerCaller))
	if err != nil {
		return flow.Key{}
	}
	destination, err := netip.ParseAddrPort(r.Header.Get(headerDestination))
	if err != nil {
		destination = netip.AddrPort{}
	}
	return flow.Key{Source: source, Destination: destination, Protocol: flow.ProtocolTCP}
}
