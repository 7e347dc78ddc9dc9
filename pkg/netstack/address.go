package netstack

import (
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/stack"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: defaultNIC, Addr: address(a.Addr()), Port: a.Port()}
}

func address(a netip.Addr) tcpip.Address {
	a = a.Unmap()
	if a.Is4() {
		return tcpip.AddrFrom4(a.As4())
	}
	return tcpip.AddrFrom16(a.As16())
}

func networkOf(a netip.Addr) tcpip.NetworkProtocolNumber {
	if a.Unmap().Is4() {
		return header.IPv4ProtocolNumber
	}
	return header.IPv6ProtocolNumber
}

func addrPort(a tcpip.Address, port uint16) netip.AddrPort {
	ip, _ := netip.AddrFromSlice(a.AsSlice())
	return netip.AddrPortFrom(ip.Unmap(), port)
}

// keyOf returns the flow key of an endpoint whose remote end is the caller.
func keyOf(id stack.TransportEndpointID, protocol uint8) flow.Key {
	return flow.Key{
		Source:      addrPort(id.RemoteAddress, id.RemotePort),
		Destination: addrPort(id.LocalAddress, id.LocalPort),
		Protocol:    protocol,
	}
}
