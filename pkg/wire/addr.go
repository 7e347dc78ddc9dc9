package wire

import (
	"encoding/binary"
	"net/netip"
)

// AddrSize is the number of bytes of an encoded address: 16 of the IP address, 2 of the port.
const AddrSize = 18

// AppendAddr appends the encoding of a to b; an IPv4 address is stored in its IPv6-mapped form.
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

// RowAddr returns address i of an encoded row, or false when the row is shorter.
func RowAddr(row []byte, i int) (netip.AddrPort, bool) {
	if i < 0 || i >= RowLen(row) {
		return netip.AddrPort{}, false
	}
	return Addr(row[i*AddrSize:])
}
