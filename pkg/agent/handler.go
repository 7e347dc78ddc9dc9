package agent

import (
	"context"
	"net"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// StreamHandler serves callers' connections. ServeFlow returns once the connection is closed; it must close the
// connection when ctx ends.
type StreamHandler interface {
	ServeFlow(ctx context.Context, conn net.Conn, key flow.Key)
}
