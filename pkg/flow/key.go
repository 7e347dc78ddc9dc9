package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IANA protocol numbers of the balanced protocols.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// Key is the five-tuple of a flow, from the caller's side.
type Key struct {
	// Source is the caller's address and port.
	Source netip.AddrPort
	// Destination is the service's address and port.
	Destination netip.AddrPort
	// Protocol is ProtocolTCP or ProtocolUDP.
	Protocol uint8
}

// Hash returns the 64-bit hash of the key. It is equal in every process and version.
func (k Key) Hash() uint64 {
	var b [37]byte
	src := k.Source.Addr().As16()
	dst := k.Destination.Addr().As16()
	copy(b[0:16], src[:])
	binary.BigEndian.PutUint16(b[16:18], k.Source.Port())
	copy(b[18:34], dst[:])
	binary.BigEndian.PutUint16(b[34:36], k.Destination.Port())
	b[36] = k.Protocol
	return xxhash.Sum64(b[:])
}
