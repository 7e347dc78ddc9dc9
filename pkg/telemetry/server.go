package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// headerTimeout is the timeout for reading a request's header, and for open requests at shutdown.
const headerTimeout = 2 * time.Second

// serve serves h on l until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), headerTimeout)
		defer cancel()
		if s.Shutdown(end) != nil {
			_ = s.Close()
		}
	})
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "serving status on %s", l.Addr())
}
