package requests

import (
	"context"
	"net"
	"net/netip"
)

// Dialer opens a caller's connection to a service.
type Dialer interface {
	// DialService connects the caller with the given address to an agent of the service.
	DialService(ctx context.Context, service string, caller netip.Addr) (net.Conn, error)
}
