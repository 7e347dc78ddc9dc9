package request

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 10 * time.Minute
	drainInterval     = 20 * time.Millisecond
)

// Server serves callers' requests to one target. It has two entry points: ServeFlow takes callers' connections, and
// ServeControl takes connections of other agents.
type Server struct {
	o               Options
	http1           *endpoint
	http2           atomic.Pointer[endpoint]
	control         *http.Server
	conns           *connTable
	target          *http.Transport
	peers           *http.Transport
	limiter         *limit.Limiter
	budget          *limit.Budget
	book            ticketBook
	inflightTable   *inflightTable
	responseCache   responseCache
	loads           *peerLoads
	claims          *claims
	rates           ticketRates
	probeLimiter    *rate.Limiter
	probing         atomic.Int32
	active          atomic.Int64
	counts          counts
	draining        atomic.Bool
	defaultDeadline atomic.Int64
	serverCtx       context.Context
	cancel          context.CancelFunc
}

// New returns a running Server; stop it with Drain and Close.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		o:      o,
		conns:  newConnTable(),
		target: newTransport(o.DialTarget, maxIdleConns),
		peers:  newTransport(o.DialPeer, peerIdleConns),
		limiter: limit.New(limit.Options{Slots: o.Slots, Queue: o.Queue, Cold: o.Cold, Unbounded: o.Unbounded,
			Rand: o.newRand()}),
		budget: limit.NewBudget(o.RetryRatio, limit.DefaultRetryBurst),
		book: ticket.NewBook(ticket.Options{Issuer: o.Agent, Incarnation: o.Incarnation, TTL: o.TicketLifetime,
			Retention: o.TicketRetention, Max: o.TicketMax, Rand: o.newRand()}),
		inflightTable: newInflightTable(),
		responseCache: newResponseCache(o.CachedResponses),
		loads:         newPeerLoads(),
		claims:        newClaims(o),
		rates:         newTicketRates(),
		probeLimiter:  rate.NewLimiter(probeRate, probeBurst),
	}
	s.defaultDeadline.Store(int64(o.Deadline))
	s.serverCtx, s.cancel = context.WithCancel(context.Background())
	s.control = newHTTPServer(http.HandlerFunc(s.serveControl))
	s.control.Protocols.SetHTTP1(true)
	s.control.Protocols.SetUnencryptedHTTP2(true)
	s.http1 = newEndpoint(s.newHTTP1Server())
	s.http2.Store(newEndpoint(s.newHTTP2Server(callerIdleTimeout)))
	return s
}

// newHTTP1Server returns the server for callers' HTTP/1.1, which records when their connections are idle.
func (s *Server) newHTTP1Server() *http.Server {
	h := newHTTPServer(http.HandlerFunc(s.serveCaller))
	h.Protocols.SetHTTP1(true)
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if f, ok := c.(*flowConn); ok && state == http.StateIdle {
			f.markIdle(s.o.Now())
		}
	}
	return h
}

// newHTTP2Server returns a server for callers' HTTP/2.
func (s *Server) newHTTP2Server(idle time.Duration) *http.Server {
	h := newHTTPServer(http.HandlerFunc(s.serveCaller))
	h.Protocols.SetUnencryptedHTTP2(true)
	h.IdleTimeout = idle
	return h
}

// newHTTPServer returns a server with no protocols enabled.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		Protocols:         &http.Protocols{},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxResponseHeaders,
		ConnContext:       flowContext,
	}
}

// ServeFlow serves HTTP on a caller's connection and returns when the connection is closed. The connection is closed
// when ctx is done.
func (s *Server) ServeFlow(ctx context.Context, conn net.Conn, key flow.Key) {
	c := newFlowConn(s.serverCtx, conn, key, s.o.Now())
	s.conns.add(c)
	defer s.conns.remove(c)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	isHTTP2, err := c.detectHTTP2()
	if err != nil || !s.deliver(c, isHTTP2) {
		return
	}
	<-c.closed
}

// deliver passes a connection to the server of its protocol; false means that the server is closed.
func (s *Server) deliver(c *flowConn, isHTTP2 bool) bool {
	if !isHTTP2 {
		return s.http1.listener.deliver(c)
	}
	for s.serverCtx.Err() == nil {
		if s.http2.Load().listener.deliver(c) {
			return true
		}
	}
	return false
}

// ServeControl serves other agents on the control address until Close. The address must be reachable by agents only.
func (s *Server) ServeControl(l net.Listener) error { return s.control.Serve(l) }

// Load returns the current load of the target as this agent observes it.
func (s *Server) Load() limit.Load { return s.limiter.Load(s.o.Now()) }

// SetLimits changes the target's slots and the deadline of requests that name none; 0 means DefaultSlots and
// DefaultDeadline.
func (s *Server) SetLimits(slots int, deadline time.Duration) {
	s.defaultDeadline.Store(int64(cmp.Or(deadline, DefaultDeadline)))
	s.wake(s.limiter.SetSlots(s.o.Now(), cmp.Or(slots, DefaultSlots)))
}

// SetQueue changes the maximum number of waiting requests; 0 means limit.DefaultQueue.
func (s *Server) SetQueue(queue int) { s.limiter.SetQueue(queue) }

// SetClaimRate changes the maximum number of claims per second; 0 means DefaultClaimRate. Accumulated claims are kept.
func (s *Server) SetClaimRate(perSecond float64) {
	s.claims.writeLimiter.SetLimitAt(s.o.Now(), rate.Limit(cmp.Or(perSecond, DefaultClaimRate)))
}

// SetEvacuated sets whether the target's data centre is evacuated. New and waiting requests then go to peers or are
// refused as not run; running requests are completed.
func (s *Server) SetEvacuated(on bool) {
	if !on {
		s.limiter.Resume()
		return
	}
	s.wake(nil, s.limiter.Pause())
}

// Drain stops starting work at this target: new and waiting requests go to peers or are refused as not run. It returns
// when all started requests are answered, or with the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	if !s.draining.Swap(true) {
		s.drainConnections()
	}
	s.wake(nil, s.limiter.Close())
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for s.active.Load() > 0 || s.Load().Busy > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.cancel()
	s.target.CloseIdleConnections()
	s.peers.CloseIdleConnections()
	err := errors.Join(s.control.Close(), s.http1.server.Close(), s.http2.Load().server.Close())
	for _, c := range s.conns.snapshot() {
		_ = c.Conn.Close()
	}
	return err
}

// wake notifies waiting submissions that the limiter has decided about them.
func (s *Server) wake(lists ...[]*limit.Work) {
	for _, list := range lists {
		for _, w := range list {
			close(w.Wake)
		}
	}
}
