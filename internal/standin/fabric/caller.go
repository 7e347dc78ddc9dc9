package fabric

import (
	"context"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// Caller is a caller with its own IP address.
type Caller struct {
	addr   netip.Addr
	uplink *uplink
}

// NewCaller returns a caller with the address and makes the fabric deliver packets for it.
func (f *Fabric) NewCaller(addr netip.Addr) *Caller {
	f.callersMu.Lock()
	defer f.callersMu.Unlock()
	s, ok := f.callers[addr]
	if !ok {
		s = f.uplinks[len(f.callers)%len(f.uplinks)]
		f.callers[addr] = s
	}
	return &Caller{addr: addr, uplink: s}
}

// Addr returns the caller's address.
func (c *Caller) Addr() netip.Addr { return c.addr }

// DialContext opens a TCP connection to an IP address and port, or a UDP socket; it fits http.Transport.
func (c *Caller) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("caller %v: %q is not an IP address and port", c.addr, address)
	}
	return c.Dial(ctx, network, netip.AddrPortFrom(c.addr, 0), remote)
}

// Dial is DialContext from a chosen local port.
func (c *Caller) Dial(ctx context.Context, network string, local, remote netip.AddrPort) (net.Conn, error) {
	switch network {
	case "tcp", "tcp4", "tcp6":
		conn, err := c.uplink.stack.DialTCP(ctx, local, remote)
		return conn, trace.Wrap(err)
	case "udp", "udp4", "udp6":
		conn, err := c.uplink.stack.DialUDP(local, remote)
		return conn, trace.Wrap(err)
	}
	return nil, trace.BadParameter("caller %v: unknown network %q", c.addr, network)
}
