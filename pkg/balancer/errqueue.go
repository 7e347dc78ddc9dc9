package balancer

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// tuneSocket enlarges the socket's buffers and asks the kernel to keep the addresses of hosts that refused a datagram.
// Both are improvements only, so errors are ignored.
func (b *Balancer) tuneSocket() {
	_ = b.conn.SetReadBuffer(DefaultSocketBuffer)
	_ = b.conn.SetWriteBuffer(DefaultSocketBuffer)
	raw, err := b.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1)
	})
}

// drainErrors reads the socket's error queue and reports each agent whose host refused a datagram.
func (b *Balancer) drainErrors() {
	raw, err := b.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		for b.nextError(int(fd)) {
		}
	})
}

// nextError handles one entry of the error queue; it returns false when the queue is empty.
func (b *Balancer) nextError(fd int) bool {
	var payload [1]byte
	var oob [512]byte
	_, _, _, from, err := unix.Recvmsg(fd, payload[:], oob[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if err != nil {
		return false
	}
	if to, ok := addrOf(from); ok {
		b.agentUnreachable(to)
	}
	return true
}

func (b *Balancer) agentUnreachable(agent netip.AddrPort) {
	k := encodeAgent(agent)
	t := b.table.Load()
	if t == nil || !t.hasAgent(k) {
		return
	}
	if !b.suspects.add(k, b.deps.Now()) {
		return
	}
	b.metrics.unreachable.Inc(1)
	b.deps.Log.Warn().Str("op", "unreachable").Stringer("peer", agent).Str("reason", "connection-refused").Msg("")
	b.deps.OnUnreachable(agent)
}

func (t *table) hasAgent(k agentKey) bool {
	for _, r := range t.services {
		if r.hasAgent(k) {
			return true
		}
	}
	return false
}

func addrOf(a unix.Sockaddr) (netip.AddrPort, bool) {
	switch v := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(v.Addr), uint16(v.Port)), true
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(v.Addr).Unmap(), uint16(v.Port)), true
	}
	return netip.AddrPort{}, false
}
