package wire

import (
	"encoding/binary"
	"net/netip"
)

// AddrSize is the size of an encoded address in bytes: 16 for the IP address and 2 for the port.
const AddrSize = 18

// AppendAddr appends the encoding of a to b. IPv4 addresses are encoded as IPv4-mapped IPv6 addresses, ports in
// big-endian order.
func AppendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// Addr decodes an address from the first AddrSize bytes of b. It returns false when b is too short.
func Addr(b []byte) (netip.AddrPort, bool) {
	if len(b) < AddrSize {
		return netip.AddrPort{}, false
	}
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:18])), true
}

// RowLen returns the number of addresses in an encoded row.
func RowLen(row []byte) int { return len(row) / AddrSize }

// RowAddr returns address i of an encoded row, or false when i is out of range.
func RowAddr(row []byte, i int) (netip.AddrPort, bool) {
	if i < 0 || i >= RowLen(row) {
		return netip.AddrPort{}, false
	}
	return Addr(row[i*AddrSize:])
}
