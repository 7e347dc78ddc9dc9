package peer

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// watchLoop keeps the streams of views on two balancers. A stream that fails is replaced by one to another balancer.
func (s *Session) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.startWatches(ctx)
		select {
		case <-ctx.Done():
		case <-s.changed:
		}
	}
	return nil
}

// startWatches opens streams until there are enough of them.
func (s *Session) startWatches(ctx context.Context) {
	addrs := s.addrs()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, addr := range addrs {
		if len(s.watches) >= watchCount {
			return
		}
		if _, ok := s.watches[addr]; ok || s.failed(addr) {
			continue
		}
		stop, cancel := context.WithCancel(ctx)
		s.watches[addr] = cancel
		s.group.Go(func() { s.watch(stop, addr) })
	}
}

// failed reports whether a stream to the address failed of late; mu is held.
func (s *Session) failed(addr string) bool {
	return s.cfg.Now().Before(s.blocked[addr])
}

// watch takes updates from one balancer until the stream fails.
func (s *Session) watch(ctx context.Context, addr string) {
	err := s.watchStream(ctx, addr)
	if ctx.Err() == nil {
		s.cfg.Log.Info().Err(err).Str("op", "watch service").Str("peer", addr).Msg("stream ended")
	}
	s.state.forget(addr)
	s.mu.Lock()
	s.watches[addr]()
	delete(s.watches, addr)
	s.blocked[addr] = s.cfg.Now().Add(streamRetryMax)
	s.mu.Unlock()
	s.notify()
	sleep(ctx, streamRetryMax+streamRetry)
	s.notify()
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
			return trace.Wrap(err, "take update of peer %s", addr)
		}
		if seen, ok := s.state.seen(s.cfg.Self.ID); ok && s.self.refute(seen) {
			s.cfg.Log.Warn().Str("op", "watch service").Str("reason", "held for "+seen.State.String()).Msg("refuted")
		}
	}
}

// learnWatchers moves the heartbeats and, where needed, the streams of views to other balancers.
func (s *Session) learnWatchers(addrs []string) {
	s.beats.follow(addrs)
	s.notify()
}
