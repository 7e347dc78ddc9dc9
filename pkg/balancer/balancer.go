package balancer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Balancer forwards packets from the fabric to agents.
type Balancer struct {
	cfg      Config
	deps     Deps
	metrics  *metrics
	conn     *net.UDPConn
	self     agentKey
	cache    *cache
	suspects suspects
	refusals *rate.Limiter
	overflow overflow
	started  time.Time
	// lastPacket is the time of the last datagram in Unix nanoseconds.
	lastPacket atomic.Int64
	table      atomic.Pointer[table]
	viewMu     sync.Mutex
}

// New opens the packet socket. The error for an invalid configuration lists all invalid fields.
func New(cfg Config, deps Deps) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err, "balancer configuration")
	}
	cfg = cfg.withDefaults()
	deps = deps.withDefaults()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, trace.Wrap(err, "listen for packets on %v", cfg.Listen)
	}
	b := &Balancer{
		cfg:      cfg,
		deps:     deps,
		started:  deps.Now(),
		metrics:  newMetrics(deps.Metrics),
		conn:     conn,
		cache:    newCache(cfg.CachedFlows, deps.Now()),
		refusals: rate.NewLimiter(rate.Limit(cfg.RefusalRate), cfg.RefusalRate),
	}
	b.self = encodeAgent(b.Addr())
	b.configureSocket()
	return b, nil
}

// Addr returns the address of the packet socket.
func (b *Balancer) Addr() netip.AddrPort {
	a := b.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// SetView applies a view to all later packets and reports whether it did; a nil view and one of a lower revision are
// ignored. The view must not be modified afterwards.
func (b *Balancer) SetView(v *view.View) bool {
	b.viewMu.Lock()
	defer b.viewMu.Unlock()
	old := b.table.Load()
	if v == nil || (old != nil && v.Revision < old.revision) {
		return false
	}
	b.table.Store(newTable(v, old))
	b.metrics.revision.Update(float64(v.Revision))
	return true
}

// Run forwards packets until ctx ends, then drains: it continues until no packet has arrived for the quiet time or the
// drain time is over, since the fabric may still send packets here.
func (b *Balancer) Run(ctx context.Context) error {
	var g errgroup.Group
	for range b.cfg.Workers {
		g.Go(newWorker(b).run)
	}
	done := make(chan struct{})
	g.Go(func() error {
		b.runOverflowReports(done)
		return nil
	})
	g.Go(func() error {
		defer close(done)
		b.closeAfterDrain(ctx)
		return nil
	})
	return trace.Wrap(g.Wait(), "forward packets")
}

// Kill closes the packet socket immediately; Run then returns.
func (b *Balancer) Kill() { _ = b.conn.Close() }

// closeAfterDrain waits until ctx ends and the drain is over, then closes the packet socket.
func (b *Balancer) closeAfterDrain(ctx context.Context) {
	<-ctx.Done()
	limit := b.deps.Now().Add(b.cfg.DrainTime)
	tick := time.NewTicker(b.cfg.QuietTime / 2)
	defer tick.Stop()
	for now := b.deps.Now(); now.Before(limit) && !b.isQuiet(now); now = b.deps.Now() {
		<-tick.C
	}
	b.Kill()
}

func (b *Balancer) isQuiet(now time.Time) bool {
	return now.Sub(time.Unix(0, b.lastPacket.Load())) >= b.cfg.QuietTime
}

// runOverflowReports records refusals above the rate once per refusalReportPeriod, and a last time when done is closed.
func (b *Balancer) runOverflowReports(done <-chan struct{}) {
	tick := time.NewTicker(refusalReportPeriod)
	defer tick.Stop()
	for {
		select {
		case <-done:
			b.reportOverflow(b.deps.Now())
			return
		case <-tick.C:
			b.reportOverflow(b.deps.Now())
		}
	}
}

// send sends the queued datagrams. The kernel may return the refusal of an earlier datagram instead of sending one,
// which is then retried once.
func (b *Balancer) send(q *batch) {
	rest := q.take()
	retry := true
	for len(rest) > 0 {
		n, err := q.conn.WriteBatch(rest, 0)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.ECONNREFUSED) && retry:
			b.drainErrors()
			retry = false
		case err != nil:
			b.metrics.sendErrors.Inc(1)
			n = max(n, 1)
			retry = true
		default:
			retry = true
		}
		rest = rest[max(n, 0):]
	}
}

func (b *Balancer) receiveFailed(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.drainErrors()
		return
	}
	b.metrics.receiveError.Inc(1)
}

// logRoute logs the routing of a new flow.
func (b *Balancer) logRoute(r *route, k flow.Key, hash uint64, first netip.AddrPort, row []byte) {
	e := b.deps.Log.Info()
	if e == nil {
		return
	}
	var text [64]byte
	e.Str("op", "route").
		Str("service", r.service.Name).
		Str("flow", strconv.FormatUint(hash, 16)).
		Bytes("caller", k.Source.AppendTo(text[:0])).
		Bytes("first", first.AppendTo(text[32:32])).
		Int("row", wire.RowLen(row)).
		Uint64("revision", r.service.Revision).
		Msg("")
}
