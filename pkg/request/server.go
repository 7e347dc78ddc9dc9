package request

import (
	"context"
	"net"
	"net/http"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Server serves the callers' connections of one target.
type Server struct {
	o        Options
	http     *http.Server
	listener *connListener
	target   *http.Transport
}

type callerContextKey struct{}

// callerOf returns the flow key of the caller's connection.
func callerOf(ctx context.Context) flow.Key {
	key, _ := ctx.Value(callerContextKey{}).(flow.Key)
	return key
}

// New returns a running Server; end it with Close.
func New(o Options) *Server {
	s := &Server{o: o.withDefaults(), listener: newConnListener(), target: newTargetTransport(o.Target)}
	s.http = newHTTPServer(http.HandlerFunc(s.serveCaller))
	go func() { _ = s.http.Serve(s.listener) }()
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

func flowContext(ctx context.Context, c net.Conn) context.Context {
	fc, ok := c.(*flowConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, callerContextKey{}, fc.key)
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

// Close cuts everything at once.
func (s *Server) Close() error {
	s.target.CloseIdleConnections()
	return s.http.Close()
}
