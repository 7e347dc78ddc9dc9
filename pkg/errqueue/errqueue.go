package errqueue

import (
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// oobSize is the buffer size in bytes for the control messages of one entry.
const oobSize = 512

// Enable makes the kernel record the addresses of hosts that refuse a datagram of the socket. The socket works without
// it, so errors are ignored.
func Enable(conn *net.UDPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1)
	})
}

// Drain empties the socket's error queue and calls refused with the destination of each refused datagram.
func Drain(conn *net.UDPConn, refused func(to netip.AddrPort)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		for drainOne(int(fd), refused) {
		}
	})
}

// drainOne reads one entry and calls refused for it. It returns false when the queue is empty or cannot be read.
func drainOne(fd int, refused func(to netip.AddrPort)) bool {
	var payload [1]byte
	var oob [oobSize]byte
	_, _, _, from, err := unix.Recvmsg(fd, payload[:], oob[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if err != nil {
		return false
	}
	if to, ok := addrOf(from); ok {
		refused(to)
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
