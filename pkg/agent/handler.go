package agent

import (
	"context"
	"net"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// StreamHandler serves the connections of callers. ServeFlow returns when the connection is closed; the end of ctx asks
// it to close the connection.
type StreamHandler interface {
	ServeFlow(ctx context.Context, conn net.Conn, key flow.Key)
}
