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

// newEndpoint starts server on a new connListener.
func newEndpoint(server *http.Server) *endpoint {
	e := &endpoint{server: server, listener: newConnListener()}
	go func() { _ = server.Serve(e.listener) }()
	return e
}

// drainConnections asks HTTP/2 callers to send further requests on other connections (GOAWAY), and returns when the
// last connection has ended or ctx is done. A connection that opens during one interval gets its GOAWAY in the next.
func (e *endpoint) drainConnections(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, interval)
		err := e.server.Shutdown(limited)
		cancel()
		if err == nil {
			return
		}
	}
}
