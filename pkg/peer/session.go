package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Numbers of a session.
const (
	// watchCount is the number of balancers from which an agent takes the views of its service.
	watchCount = 2
	// announceCount is the number of balancers that an agent announces a change to.
	announceCount = 2
	// mirrorCount is the number of balancers that a process hands its refusal records to.
	mirrorCount = 2
)

// Session is the control side of an agent: it announces the agent, sends heartbeats to its watchers and takes the views
// of its service from two balancers.
type Session struct {
	cfg        SessionConfig
	self       *self
	budget     *budget
	dialer     *dialer
	heartbeats *heartbeater
	state      *serviceState

	mu sync.Mutex
	// knownAddrs are control addresses of balancers that were named by others, newest first.
	knownAddrs []string
	watches    map[string]context.CancelFunc
	// blockedUntil says until when no stream of views is opened to a balancer, because one failed.
	blockedUntil map[string]time.Time
	// changed is set when the watchers or the known balancers changed.
	changed chan struct{}
	group   sync.WaitGroup
	// killed is set when the session ends without telling the balancers.
	killed atomic.Bool
}

// maxKnownAddrs bounds the number of addresses that a session remembers besides its seeds.
const maxKnownAddrs = 16

// NewSession returns a session that doesn't run yet. It returns an error when the record isn't complete or the
// certificates can't be read.
func NewSession(cfg SessionConfig) (*Session, error) {
	cfg = cfg.withDefaults()
	if cfg.Self.ID == "" || cfg.Self.Incarnation == 0 || cfg.Self.Service == "" || !cfg.Self.PacketAddr.IsValid() {
		return nil, trace.BadParameter("session needs an ID, an incarnation, a service and a packet address")
	}
	if len(cfg.Seeds) == 0 || cfg.OnView == nil {
		return nil, trace.BadParameter("session needs the address of a balancer and a receiver of views")
	}
	creds, err := newCredentials(cfg.TLS, cfg.Log)
	if err != nil {
		return nil, err
	}
	s := &Session{
		cfg:          cfg,
		self:         newSelf(cfg.Self, cfg.Now),
		budget:       newBudget(cfg.BytesPerSecond, cfg.Now, cfg.Metrics),
		state:        newServiceState(cfg),
		watches:      make(map[string]context.CancelFunc),
		blockedUntil: make(map[string]time.Time),
		changed:      make(chan struct{}, 1),
	}
	s.dialer = newDialer(creds, s.budget, cfg.dial)
	s.heartbeats = newHeartbeater(s.self, s.dialer, cfg.HeartbeatInterval, cfg.Log)
	s.heartbeats.loadFunc = cfg.Load
	s.heartbeats.counts = cfg.Counts
	s.heartbeats.onAnnounce = s.announceTo
	s.heartbeats.onWatchers = s.setWatchers
	// A watcher that fails may soon be replaced, and the others may have failed too, so the agent asks again.
	s.heartbeats.onFailure = s.self.scheduleAnnounce
	return s, nil
}

// RunSession makes a session and runs it until ctx ends.
func RunSession(ctx context.Context, cfg SessionConfig) error {
	s, err := NewSession(cfg)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// Self returns the agent's own record.
func (s *Session) Self() membership.Member {
	return s.self.get()
}

// Drain makes the agent draining; that is final.
func (s *Session) Drain() {
	s.self.update(func(m *membership.Member) { m.State = membership.StateDraining })
}

// Update changes what the agent announces, for example its slots.
func (s *Session) Update(f func(m *membership.Member)) {
	s.self.update(f)
}

// Mirror hands refusal records to two balancers, so that the death of one loses none, or to one when no other answers. It
// tries the balancers in turn and returns an error when none took them; readers leave out what was taken twice.
func (s *Session) Mirror(ctx context.Context, records []byte) error {
	request := &peerpb.MirrorRefusalsRequest{Id: s.cfg.Self.ID, Records: records}
	_, err := mirrorToSome(ctx, s.dialer, s.addrs(), request)
	return err
}

// Run runs the session until ctx ends. It then tells the balancers that the agent has left.
func (s *Session) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error { return s.announceLoop(run) })
	g.Go(func() error { return s.watchLoop(run) })
	g.Go(func() error { return s.joinLoop(run) })
	g.Go(func() error { return s.heartbeats.run(run) })
	_ = g.Wait()
	s.leave()
	s.group.Wait()
	s.dialer.close()
	return nil
}

// Kill closes all connections at once and tells nobody, as if the VM were gone. End Run's context after it.
func (s *Session) Kill() {
	s.killed.Store(true)
	s.dialer.close()
}

// joinLoop makes the agent active once it has been joining for the set time, a balancer has its record and it is ready.
func (s *Session) joinLoop(ctx context.Context) error {
	_ = wait.For(ctx, s.cfg.JoinTime)
	for ctx.Err() == nil && !s.canServe() {
		_ = wait.For(ctx, streamRetry)
	}
	if ctx.Err() != nil {
		return nil
	}
	s.self.update(func(m *membership.Member) {
		if m.State == membership.StateJoining {
			m.State = membership.StateActive
			m.ActiveSince = s.cfg.Now()
		}
	})
	return nil
}

// canServe reports whether a balancer has the agent's record and the agent is ready for packets.
func (s *Session) canServe() bool {
	if len(s.heartbeats.addrs()) == 0 {
		return false
	}
	return s.cfg.Ready == nil || s.cfg.Ready()
}

// announceLoop announces each change of the record to two balancers, until it is taken.
func (s *Session) announceLoop(ctx context.Context) error {
	pause := streamRetry
	for ctx.Err() == nil {
		if s.announceAll(ctx) == 0 {
			s.cfg.Log.Warn().Str("op", "announce").Str("reason", "no balancer answered").Send()
			_ = wait.For(ctx, jitter(pause))
			pause = min(pause*2, streamRetryMax)
			continue
		}
		pause = streamRetry
		select {
		case <-ctx.Done():
		case <-s.self.changed:
		}
	}
	return nil
}

// announceAll announces the record to two balancers at a time until two have taken it, and returns their number.
func (s *Session) announceAll(ctx context.Context) int {
	taken := 0
	for batch := range slices.Chunk(s.addrs(), announceCount) {
		taken += s.announceBatch(ctx, batch)
		if taken >= announceCount || ctx.Err() != nil {
			break
		}
	}
	return taken
}

func (s *Session) announceBatch(ctx context.Context, addrs []string) int {
	var taken atomic.Int32
	var group sync.WaitGroup
	for _, addr := range addrs {
		group.Go(func() {
			reply, err := announce(ctx, s.dialer, s.self, addr)
			if err != nil {
				s.cfg.Log.Debug().Err(err).Str("op", "announce").Str("peer", addr).Send()
				return
			}
			taken.Add(1)
			s.applyReply(reply)
		})
	}
	group.Wait()
	return int(taken.Load())
}

// announceTo hands the record to a watcher that asked for it.
func (s *Session) announceTo(ctx context.Context, addr string) {
	reply, err := announce(ctx, s.dialer, s.self, addr)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("op", "announce").Str("peer", addr).Send()
		return
	}
	s.refute(reply)
}

func (s *Session) refute(reply *peerpb.AnnounceReply) {
	seen := memberFromProto(reply.GetMember())
	if seen.Incarnation > s.cfg.Self.Incarnation {
		s.cfg.Log.Error().Str("op", "announce").Str("reason", "another process uses this name").Uint64("incarnation", seen.Incarnation).Send()
		return
	}
	if s.self.refute(seen) {
		s.cfg.Log.Warn().Str("op", "announce").Str("reason", "held for "+seen.State.String()).Msg("refuted")
	}
}

// applyReply takes over what a balancer answered to the announcement.
func (s *Session) applyReply(reply *peerpb.AnnounceReply) {
	s.refute(reply)
	s.mu.Lock()
	s.knownAddrs = mergeAddrs(reply.GetPeers(), s.knownAddrs)
	s.mu.Unlock()
	if len(reply.GetWatchers()) > 0 {
		s.heartbeats.setWatchers(reply.GetWatchers())
	}
	s.notify()
}

func (s *Session) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// mergeAddrs returns the addresses of both lists without doubles, at most maxKnown.
func mergeAddrs(first, then []string) []string {
	all := make([]string, 0, len(first)+len(then))
	for _, addr := range append(slices.Clone(first), then...) {
		if addr != "" && !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all[:min(len(all), maxKnownAddrs)]
}

// addrs returns the addresses to call in the order of preference: watchers, known balancers, seeds. Those to which a
// stream failed of late come last.
func (s *Session) addrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seeds := slices.Clone(s.cfg.Seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	now := s.cfg.Now()
	var working, failing []string
	for _, addr := range slices.Concat(s.heartbeats.addrs(), s.knownAddrs, seeds) {
		switch {
		case slices.Contains(working, addr) || slices.Contains(failing, addr):
		case now.Before(s.blockedUntil[addr]):
			failing = append(failing, addr)
		default:
			working = append(working, addr)
		}
	}
	return append(working, failing...)
}

// leave tells two balancers that the agent has left.
func (s *Session) leave() {
	if s.killed.Load() {
		return
	}
	s.self.update(func(m *membership.Member) { m.State = membership.StateLeft })
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	taken := 0
	for _, addr := range s.addrs() {
		if taken == announceCount || ctx.Err() != nil {
			return
		}
		if _, err := announce(ctx, s.dialer, s.self, addr); err == nil {
			taken++
		}
	}
}
