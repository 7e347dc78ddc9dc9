package flow

import "net/netip"

// AddrBits returns the last 32 bits of an IP address and its port, for hashes.
func AddrBits(a netip.AddrPort) uint64 {
	ip := a.Addr().As16()
	return uint64(ip[12])<<40 | uint64(ip[13])<<32 | uint64(ip[14])<<24 | uint64(ip[15])<<16 | uint64(a.Port())
}

// AddrHash returns a 32-bit hash of an address that is the same in every process.
func AddrHash(a netip.AddrPort) uint32 { return uint32(Mix(AddrBits(a))) }
