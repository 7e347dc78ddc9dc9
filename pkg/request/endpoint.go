package request

import (
	"context"
	"net/http"
	"time"
)

// endpoint is an HTTP server with the listener that feeds it.
type endpoint struct {
	server   *http.Server
	listener *connListener
}

// newEndpoint returns a running endpoint.
func newEndpoint(server *http.Server) *endpoint {
	e := &endpoint{server: server, listener: newConnListener()}
	go func() { _ = server.Serve(e.listener) }()
	return e
}

// drain tells the callers of HTTP/2 to send their further requests elsewhere (GOAWAY), and returns when the last
// connection has ended or ctx ends. A connection that was opened during a round is told in the next one.
func (e *endpoint) drain(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, interval)
		err := e.server.Shutdown(limited)
		cancel()
		if err == nil {
			return
		}
	}
}
