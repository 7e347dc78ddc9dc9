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

const (
	// watchCount is the number of balancers from which an agent watches its service.
	watchCount = 2
	// announceCount is the number of balancers to which an agent announces a change.
	announceCount = 2
	// mirrorCount is the number of balancers to which a process sends its refusal records.
	mirrorCount = 2
)

// Session is the control side of an agent: it announces the agent, sends heartbeats to its watchers and watches its
// service on two balancers.
type Session struct {
	cfg        SessionConfig
	self       *self
	budget     *budget
	dialer     *dialer
	heartbeats *heartbeater
	state      *serviceState

	mu sync.Mutex
	// knownAddrs are control addresses of balancers from replies to announcements, newest first.
	knownAddrs []string
	watches    map[string]context.CancelFunc
	// blockedUntil holds, for a balancer whose watch stream failed, the time until which no new one is opened.
	blockedUntil map[string]time.Time
	// changed receives a value when watchLoop should update the watches.
	changed chan struct{}
	group   sync.WaitGroup
	// killed is set when the session ends without notifying the balancers.
	killed atomic.Bool
}

// maxKnownAddrs is the maximum number of addresses that a session keeps besides its seeds.
const maxKnownAddrs = 16

// NewSession returns a session; Run starts it. It returns an error when a required setting is missing or the
// certificates can't be read.
func NewSession(cfg SessionConfig) (*Session, error) {
	cfg = cfg.withDefaults()
	if cfg.Self.ID == "" || cfg.Self.Incarnation == 0 || cfg.Self.Service == "" || !cfg.Self.PacketAddr.IsValid() {
		return nil, trace.BadParameter("session needs an ID, an incarnation, a service and a packet address")
	}
	if len(cfg.Seeds) == 0 || cfg.OnView == nil {
		return nil, trace.BadParameter("session needs the address of a balancer and an OnView callback")
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
	s.heartbeats.onWatchers = s.updateWatchers
	// A failed watcher may soon be replaced, and the others may have failed too; the reply to an announcement contains
	// the current watchers.
	s.heartbeats.onFailure = s.self.scheduleAnnounce
	return s, nil
}

// RunSession creates a session and runs it until ctx ends.
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

// Drain sets the agent's state to draining, which is final within the incarnation.
func (s *Session) Drain() {
	s.self.update(func(m *membership.Member) { m.State = membership.StateDraining })
}

// Update changes the record that the agent announces, for example its slots.
func (s *Session) Update(f func(m *membership.Member)) {
	s.self.update(f)
}

// Mirror sends refusal records to mirrorCount balancers, so that they survive the loss of one, or to fewer when no
// other accepts them. It tries the balancers in order and returns an error when none accepted. Readers deduplicate the
// records.
func (s *Session) Mirror(ctx context.Context, records []byte) error {
	request := &peerpb.MirrorRefusalsRequest{Id: s.cfg.Self.ID, Records: records}
	_, err := mirrorToSome(ctx, s.dialer, s.addrs(), request)
	return err
}

// Run runs the session until ctx ends. It then announces to some balancers that the agent has left.
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

// Kill closes all connections immediately and notifies nobody, as if the VM had failed. The caller then cancels the
// context of Run.
func (s *Session) Kill() {
	s.killed.Store(true)
	s.dialer.close()
}

// joinLoop sets the agent active once JoinTime has passed and it can serve.
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

// canServe reports whether a balancer has the agent's record and assigned watchers, and the agent is ready for packets.
func (s *Session) canServe() bool {
	if len(s.heartbeats.addrs()) == 0 {
		return false
	}
	return s.cfg.Ready == nil || s.cfg.Ready()
}

// announceLoop announces each change of the record to two balancers, and retries until at least one has accepted it.
func (s *Session) announceLoop(ctx context.Context) error {
	backoff := streamRetry
	for ctx.Err() == nil {
		if s.announceAll(ctx) == 0 {
			s.cfg.Log.Warn().Str("op", "announce").Str("reason", "no balancer answered").Send()
			_ = wait.For(ctx, jitter(backoff))
			backoff = min(backoff*2, streamRetryMax)
			continue
		}
		backoff = streamRetry
		select {
		case <-ctx.Done():
		case <-s.self.changed:
		}
	}
	return nil
}

// announceAll announces the record to announceCount balancers at a time until that many have accepted it, and returns
// how many did.
func (s *Session) announceAll(ctx context.Context) int {
	accepted := 0
	for batch := range slices.Chunk(s.addrs(), announceCount) {
		accepted += s.announceBatch(ctx, batch)
		if accepted >= announceCount || ctx.Err() != nil {
			break
		}
	}
	return accepted
}

func (s *Session) announceBatch(ctx context.Context, addrs []string) int {
	var accepted atomic.Int32
	var group sync.WaitGroup
	for _, addr := range addrs {
		group.Go(func() {
			reply, err := announce(ctx, s.dialer, s.self, addr)
			if err != nil {
				s.cfg.Log.Debug().Err(err).Str("op", "announce").Str("peer", addr).Send()
				return
			}
			accepted.Add(1)
			s.applyReply(reply)
		})
	}
	group.Wait()
	return int(accepted.Load())
}

// announceTo sends the record to a watcher that requested it.
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
		s.cfg.Log.Warn().Str("op", "announce").Str("reason", "recorded as "+seen.State.String()).Msg("refuted the record of this process, announcing again")
	}
}

// applyReply applies a balancer's reply to an announcement.
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

// mergeAddrs returns the addresses of both lists in order, without duplicates, and at most maxKnownAddrs.
func mergeAddrs(first, then []string) []string {
	all := make([]string, 0, len(first)+len(then))
	for _, addr := range append(slices.Clone(first), then...) {
		if addr != "" && !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all[:min(len(all), maxKnownAddrs)]
}

// addrs returns the balancers' addresses in order of preference: watchers, known balancers, seeds. Those whose watch
// stream failed recently come last.
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

// leave announces to announceCount balancers that the agent has left, unless the session was killed.
func (s *Session) leave() {
	if s.killed.Load() {
		return
	}
	s.self.update(func(m *membership.Member) { m.State = membership.StateLeft })
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	accepted := 0
	for _, addr := range s.addrs() {
		if accepted == announceCount || ctx.Err() != nil {
			return
		}
		if _, err := announce(ctx, s.dialer, s.self, addr); err == nil {
			accepted++
		}
	}
}
