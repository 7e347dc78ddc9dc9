package peer

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// watchLoop maintains watch streams to watchCount balancers. A stream that fails is replaced by one to another
// balancer.
func (s *Session) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.updateWatches(ctx)
		select {
		case <-ctx.Done():
		case <-s.changed:
		}
	}
	return nil
}

// updateWatches opens streams to the preferred balancers. Once all of these have sent a view, it closes the others.
func (s *Session) updateWatches(ctx context.Context) {
	addrs := s.addrs()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.knownAddrs) == 0 {
		// Before the first reply only the seeds are known, and they would receive the streams of all agents.
		return
	}
	preferred := s.preferred(addrs)
	ready := 0
	for _, addr := range preferred {
		if s.watches[addr] == nil {
			s.openWatch(ctx, addr)
		}
		if s.state.ready(addr) {
			ready++
		}
	}
	if ready < len(preferred) {
		return
	}
	for addr, cancel := range s.watches {
		if !slices.Contains(preferred, addr) {
			cancel()
		}
	}
}

// preferred returns the first watchCount addresses to which no stream failed recently; mu must be held.
func (s *Session) preferred(addrs []string) []string {
	now := s.cfg.Now()
	var list []string
	for _, addr := range addrs {
		if len(list) < watchCount && !now.Before(s.blockedUntil[addr]) {
			list = append(list, addr)
		}
	}
	return list
}

// openWatch starts a stream; mu must be held.
func (s *Session) openWatch(ctx context.Context, addr string) {
	stop, cancel := context.WithCancel(ctx)
	s.watches[addr] = cancel
	s.group.Go(func() { s.watch(stop, addr) })
}

// watch applies updates from one balancer until the stream fails or is closed. After a failure it signals watchLoop at
// once, and again when the balancer may be used again.
func (s *Session) watch(ctx context.Context, addr string) {
	err := s.watchStream(ctx, addr)
	s.state.removeSource(addr)
	if !s.endWatch(ctx, addr) {
		return
	}
	s.cfg.Log.Info().Err(err).Str("op", "watch service").Str("peer", addr).Msg("stream ended")
	s.notify()
	_ = wait.For(ctx, streamRetryMax)
	s.notify()
}

// endWatch removes a stream and reports whether it failed rather than was closed. A balancer whose stream failed is
// blocked for streamRetryMax.
func (s *Session) endWatch(ctx context.Context, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := ctx.Err() == nil
	s.watches[addr]()
	delete(s.watches, addr)
	if failed {
		s.blockedUntil[addr] = s.cfg.Now().Add(streamRetryMax)
	}
	return failed
}

func (s *Session) watchStream(ctx context.Context, addr string) error {
	client, err := s.dialer.client(addr)
	if err != nil {
		return err
	}
	stream, err := client.WatchService(ctx, &peerpb.WatchServiceRequest{Service: s.cfg.Self.Service, Id: s.cfg.Self.ID})
	if err != nil {
		return trace.Wrap(err, "watch service at peer %s", addr)
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return trace.Wrap(err, "watch service at peer %s", addr)
		}
		if err := s.state.apply(addr, u); err != nil {
			return trace.Wrap(err, "apply update of peer %s", addr)
		}
		if u.GetSnapshot() {
			s.notify()
		}
		if member, ok := s.state.member(s.cfg.Self.ID); ok && s.self.refute(member) {
			s.cfg.Log.Warn().Str("op", "watch service").Str("reason", "recorded as "+member.State.String()).Msg("refuted the record of this process, announcing again")
		}
	}
}

// updateWatchers directs the heartbeats to the given watchers and signals watchLoop, because watchers are the preferred
// balancers for watch streams.
func (s *Session) updateWatchers(addrs []string) {
	s.heartbeats.setWatchers(addrs)
	s.notify()
}
