package request

import (
	"context"
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

// Server serves the callers' requests of one target. It has two endpoints: ServeFlow takes callers' connections, and
// ServeControl takes connections of other agents.
type Server struct {
	o        Options
	callers  *http.Server
	control  *http.Server
	listener *connListener
	target   *http.Transport
	peers    *http.Transport
	limiter  *limit.Limiter
	budget   *limit.Budget
	book     ticketBook
	flights  *flights
	answers  answers
	loads    *peerLoads
	claims   *claims
	probes   *rate.Limiter
	probing  atomic.Int32
	active   atomic.Int64
	draining atomic.Bool
	patience atomic.Int64
	life     context.Context
	end      context.CancelFunc
}

// New returns a running Server; end it with Drain and Close.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		o:        o,
		listener: newConnListener(),
		target:   newTransport(o.DialTarget, maxIdleConns),
		peers:    newTransport(o.DialPeer, peerIdleConns),
		limiter: limit.New(limit.Options{Slots: o.Slots, Queue: o.Queue, Cold: o.Cold, Unbounded: o.Unbounded,
			Rand: o.newRand()}),
		budget: limit.NewBudget(o.RetryRatio, limit.DefaultRetryBurst),
		book: ticket.NewBook(ticket.Options{Issuer: o.Agent, Incarnation: o.Incarnation, Life: o.TicketLife,
			Retention: o.TicketRetention, Max: o.TicketMax, Rand: o.newRand()}),
		flights: newFlights(),
		answers: newAnswers(o.Answers),
		loads:   newPeerLoads(),
		claims:  newClaims(o),
		probes:  rate.NewLimiter(probeRate, probeBurst),
	}
	s.patience.Store(int64(o.Deadline))
	s.life, s.end = context.WithCancel(context.Background())
	s.callers = newHTTPServer(http.HandlerFunc(s.serveCaller))
	s.control = newHTTPServer(http.HandlerFunc(s.serveControl))
	go func() { _ = s.callers.Serve(s.listener) }()
	return s
}

func newHTTPServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxAnswerHeaders,
		ConnContext:       flowContext,
	}
}

// ServeFlow serves HTTP on a caller's connection and returns when the connection is closed. The end of ctx closes it.
func (s *Server) ServeFlow(ctx context.Context, conn net.Conn, key flow.Key) {
	c := newFlowConn(conn, key)
	defer c.Close()
	if !s.listener.offer(c) {
		return
	}
	select {
	case <-c.closed:
	case <-ctx.Done():
	}
}

// ServeControl serves other agents on the control address until Close. Only agents may be able to reach it.
func (s *Server) ServeControl(l net.Listener) error { return s.control.Serve(l) }

// Load returns what the agent observes of its target.
func (s *Server) Load() limit.Load { return s.limiter.Load(s.o.Now()) }

// SetLimits takes a change of the service's limits: the slots of the target, and the time of a request that names none.
func (s *Server) SetLimits(slots int, deadline time.Duration) {
	s.patience.Store(int64(or(deadline, DefaultDeadline)))
	s.wake(s.limiter.SetSlots(s.o.Now(), or(slots, DefaultSlots)))
}

// Drain stops new work: waiting requests go to peers or are refused as not run. It returns when everything that had
// started is answered, or with the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
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

// Close cuts everything at once.
func (s *Server) Close() error {
	s.end()
	s.target.CloseIdleConnections()
	s.peers.CloseIdleConnections()
	err := s.control.Close()
	if cerr := s.callers.Close(); err == nil {
		err = cerr
	}
	return err
}

// wake tells waiting submissions that the limiter decided about them.
func (s *Server) wake(lists ...[]*limit.Work) {
	for _, list := range lists {
		for _, w := range list {
			close(w.Wake)
		}
	}
}
