package resource

import (
	"fmt"
	"net/netip"
)

// AddressKey is the canonical, comparable form of an Address; different spellings of one IP address give equal keys.
type AddressKey struct {
	// Addr is the address and port; an IPv4-mapped IPv6 address is unmapped to IPv4.
	Addr netip.AddrPort
	// Protocol is ProtocolTCP or ProtocolUDP.
	Protocol Protocol
}

// String returns the key as, for example, "10.0.0.1:80/tcp".
func (k AddressKey) String() string {
	return fmt.Sprintf("%s/%s", k.Addr, k.Protocol)
}

// Key returns the canonical form of an address, or false when the IP address or protocol is invalid.
func (a Address) Key() (AddressKey, bool) {
	ip, err := netip.ParseAddr(a.IP)
	if err != nil {
		return AddressKey{}, false
	}
	p := a.Protocol
	if p == "" {
		p = ProtocolTCP
	}
	if p != ProtocolTCP && p != ProtocolUDP {
		return AddressKey{}, false
	}
	return AddressKey{Addr: netip.AddrPortFrom(ip.Unmap(), a.Port), Protocol: p}, true
}
