package agent

import (
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// askErrors asks the kernel to keep the addresses of hosts that refused a datagram. It is an improvement only, so errors
// are ignored.
func askErrors(conn *net.UDPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1)
	})
}

// refusedPacket reports whether the error of the packet socket says that a host refused an earlier datagram; if so, the
// arbiter has been told of the agents concerned.
func (a *Agent) refusedPacket(err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	raw, err := a.conn.SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		for a.nextRefusal(int(fd)) {
		}
	})
	return true
}

// nextRefusal handles one entry of the socket's error queue; it returns false when the queue is empty.
func (a *Agent) nextRefusal(fd int) bool {
	var payload [1]byte
	var oob [512]byte
	_, _, _, from, err := unix.Recvmsg(fd, payload[:], oob[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if err != nil {
		return false
	}
	a.metrics.peerRefused.Inc(1)
	if to, ok := addrOf(from); ok {
		a.arbiter.Unreachable(a.deps.Now(), to)
	}
	return true
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
