package dsrd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Timeouts of the HTTP listeners. Their clients are on the same VM or in the same region.
const (
	headerTimeout = 2 * time.Second
	idleTimeout   = time.Minute
)

// serveHTTP serves requests on the address until the context ends.
func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return trace.Wrap(err, "listening on TCP %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serving HTTP on %s", address)
	}
	return ctx.Err()
}
