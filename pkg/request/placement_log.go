package request

import "net/http"

// logPlacement logs and counts a placement decision.
func (s *Server) logPlacement(r *http.Request, op, peer, why string) {
	s.o.Log.Info().Str("op", op).Str("service", s.o.Service).Str("peer", peer).Str("reason", why).
		Stringer("caller", callerOf(r.Context()).Source).Msg("request placed")
	s.o.Metrics.Counter("request_" + op).Inc(1)
}
