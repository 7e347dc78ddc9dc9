package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// heartbeater maintains one heartbeat stream to each watcher of this process.
type heartbeater struct {
	self     *self
	dialer   *dialer
	interval time.Duration
	loadFunc func() uint32
	// counts returns the cumulative requests and failures of this process; nil when it doesn't count them.
	counts func() (requests, failures uint64)
	log    zerolog.Logger
	// onAnnounce is called when the watcher at addr requests the record of this process.
	onAnnounce func(ctx context.Context, addr string)
	// onWatchers, when not nil, is called with the addresses when a watcher reports a new set of watchers.
	onWatchers func(addrs []string)
	// onFailure, when not nil, is called after a stream broke.
	onFailure func()

	mu       sync.Mutex
	watchers []string
	changed  chan struct{}
}

func newHeartbeater(s *self, d *dialer, interval time.Duration, log zerolog.Logger) *heartbeater {
	return &heartbeater{self: s, dialer: d, interval: interval, log: log, changed: make(chan struct{}, 1)}
}

func (h *heartbeater) load() uint32 {
	if h.loadFunc == nil {
		return 0
	}
	return h.loadFunc()
}

func (h *heartbeater) setWatchers(addrs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = slices.Clone(addrs)
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

func (h *heartbeater) addrs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.watchers)
}

// run maintains the streams until ctx ends, and returns after the last one has ended.
func (h *heartbeater) run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	streams := make(map[string]context.CancelFunc)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.changed:
		}
		h.reconcile(ctx, streams, &group)
	}
}

// reconcile starts streams to new watchers and ends those to former ones.
func (h *heartbeater) reconcile(ctx context.Context, streams map[string]context.CancelFunc, group *sync.WaitGroup) {
	wanted := h.addrs()
	for addr, cancel := range streams {
		if !slices.Contains(wanted, addr) {
			cancel()
			delete(streams, addr)
		}
	}
	for _, addr := range wanted {
		if _, ok := streams[addr]; ok || addr == "" {
			continue
		}
		stop, cancel := context.WithCancel(ctx)
		streams[addr] = cancel
		group.Go(func() {
			defer cancel()
			h.maintainStream(stop, addr)
		})
	}
}

// maintainStream keeps a stream to one watcher open until stop ends, with exponential backoff after failures.
func (h *heartbeater) maintainStream(stop context.Context, addr string) {
	backoff := streamRetry
	for stop.Err() == nil {
		start := time.Now()
		err := h.stream(stop, addr)
		if stop.Err() != nil {
			return
		}
		if time.Since(start) > streamRetryMax {
			backoff = streamRetry
		}
		h.log.Debug().Err(err).Str("op", "heartbeat").Str("peer", addr).Msg("stream ended")
		if h.onFailure != nil {
			h.onFailure()
		}
		_ = wait.For(stop, jitter(backoff))
		backoff = min(backoff*2, streamRetryMax)
	}
}

// stream sends heartbeats until the stream breaks or stop ends. When stop ends it closes the stream in an orderly way,
// so that the watcher doesn't record a failure.
func (h *heartbeater) stream(stop context.Context, addr string) error {
	client, err := h.dialer.client(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	s, err := client.Heartbeat(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- h.receive(ctx, s, addr) }()
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	var sent sentHeartbeat
	for {
		if err := s.Send(h.nextHeartbeat(&sent)); err != nil {
			return err
		}
		select {
		case err := <-failed:
			return err
		case <-ticker.C:
		case <-stop.Done():
			h.sendFinalCounters(s, &sent)
			_ = s.CloseSend()
			waitFor(failed, callTimeout)
			return nil
		}
	}
}

// sentHeartbeat holds the values last sent on a stream.
type sentHeartbeat struct {
	member             membership.Member
	requests, failures uint64
}

// nextHeartbeat returns the next heartbeat and updates sent. Values that haven't changed since they were last sent on
// the stream are omitted, except the load.
func (h *heartbeater) nextHeartbeat(sent *sentHeartbeat) *peerpb.HeartbeatRequest {
	r := &peerpb.HeartbeatRequest{Load: h.load()}
	h.addCounts(r, sent)
	m, last := h.self.get(), sent.member
	sent.member = m
	if last.ID != "" && last.Sequence == m.Sequence {
		return r
	}
	r.Incarnation, r.Sequence = m.Incarnation, m.Sequence
	if last.ID == "" {
		r.Id = m.ID
	}
	return r
}

func (h *heartbeater) addCounts(r *peerpb.HeartbeatRequest, sent *sentHeartbeat) {
	if h.counts == nil {
		return
	}
	requests, failures := h.counts()
	if requests == sent.requests && failures == sent.failures {
		return
	}
	sent.requests, sent.failures = requests, failures
	r.Requests, r.Failures = requests, failures
}

// sendFinalCounters sends the counters if they have changed since the last heartbeat, so that the last failures of a
// target that ends aren't lost with its agent.
func (h *heartbeater) sendFinalCounters(s peerpb.Control_HeartbeatClient, sent *sentHeartbeat) {
	if r := h.nextHeartbeat(sent); r.GetRequests() != 0 {
		_ = s.Send(r)
	}
}

func (h *heartbeater) receive(ctx context.Context, s peerpb.Control_HeartbeatClient, addr string) error {
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		if r.GetAnnounce() {
			h.onAnnounce(ctx, addr)
		}
		if len(r.GetWatchers()) > 0 && h.onWatchers != nil {
			h.onWatchers(r.GetWatchers())
		}
	}
}

func waitFor(c <-chan error, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
