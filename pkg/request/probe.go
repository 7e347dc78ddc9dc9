package request

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// Limits of load probes, which ask peers for their load while a request waits here. probeRate is in probes per second.
const (
	probeRate    = 25
	probeBurst   = 4
	maxProbing   = 2
	probeTimeout = 200 * time.Millisecond
)

// probe asks one peer of unknown load in the background. The rate is limited for the whole agent.
func (s *Server) probe() {
	now := s.o.Now()
	if s.probing.Load() >= maxProbing || s.probeLimiter.TokensAt(now) < 1 {
		return
	}
	var stale []Peer
	for _, p := range samplePeers(s.o.Peers.Candidates()) {
		if _, fresh := s.loads.fresh(now, p.Agent); !fresh {
			stale = append(stale, p)
		}
	}
	if len(stale) == 0 || !s.probeLimiter.AllowN(now, 1) {
		return
	}
	p := stale[rand.IntN(len(stale))]
	s.probing.Add(1)
	go func() {
		defer s.probing.Add(-1)
		s.fetchLoad(p)
	}()
}

func (s *Server) fetchLoad(p Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Control.String()+wellKnown+"load", nil)
	if err != nil {
		return
	}
	s.setHopHeaders(req.Header, ctx, hopLoad, 1)
	res, err := s.peers.RoundTrip(req)
	if err != nil {
		s.loads.markUnreachable(s.o.Now(), p.Agent)
		return
	}
	defer res.Body.Close()
	s.updateLoad(p, res)
}

// updateLoad stores the load from a peer's response and removes the header, so that no caller sees it.
func (s *Server) updateLoad(p Peer, res *http.Response) {
	l, ok := decodeLoad(res.Header.Get(headerLoad))
	res.Header.Del(headerLoad)
	if ok {
		s.loads.updateLoad(s.o.Now(), p.Agent, l)
	}
}
