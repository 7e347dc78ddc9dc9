package packet

import (
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Parse parses the headers of the IP packet b. The error is always an Error.
func Parse(b []byte) (Info, error) {
	switch header.IPVersion(b) {
	case header.IPv4Version:
		return parseIPv4(header.IPv4(b))
	case header.IPv6Version:
		return parseIPv6(header.IPv6(b))
	}
	return Info{}, ErrVersion
}

func parseIPv4(ip header.IPv4) (Info, error) {
	if len(ip) < header.IPv4MinimumSize {
		return Info{}, ErrTruncated
	}
	if int(ip.TotalLength()) > len(ip) {
		return Info{}, ErrTruncated
	}
	if !ip.IsValid(len(ip)) {
		return Info{}, ErrHeader
	}
	if !ip.IsChecksumValid() {
		return Info{}, ErrChecksum
	}
	if ip.More() || ip.FragmentOffset() != 0 {
		return Info{}, ErrFragment
	}
	src := netip.AddrFrom4([4]byte(ip.SourceAddressSlice()))
	dst := netip.AddrFrom4([4]byte(ip.DestinationAddressSlice()))
	return parseTransport(src, dst, ip.Protocol(), ip.Payload(), int(ip.TotalLength()))
}

func parseIPv6(ip header.IPv6) (Info, error) {
	if len(ip) < header.IPv6MinimumSize {
		return Info{}, ErrTruncated
	}
	if !ip.IsValid(len(ip)) {
		return Info{}, ErrTruncated
	}
	if ip.NextHeader() == uint8(header.IPv6FragmentHeader) {
		return Info{}, ErrFragment
	}
	src := netip.AddrFrom16([16]byte(ip.SourceAddressSlice()))
	dst := netip.AddrFrom16([16]byte(ip.DestinationAddressSlice()))
	length := header.IPv6MinimumSize + int(ip.PayloadLength())
	return parseTransport(src, dst, ip.NextHeader(), ip.Payload(), length)
}

func parseTransport(src, dst netip.Addr, protocol uint8, payload []byte, length int) (Info, error) {
	if src.IsUnspecified() || src.IsMulticast() || src.Is4In6() || dst.Is4In6() {
		return Info{}, ErrAddress
	}
	switch protocol {
	case flow.ProtocolTCP:
		return parseTCP(src, dst, header.TCP(payload), length)
	case flow.ProtocolUDP:
		return parseUDP(src, dst, header.UDP(payload), length)
	}
	return Info{}, ErrProtocol
}

func parseTCP(src, dst netip.Addr, tcp header.TCP, length int) (Info, error) {
	if len(tcp) < header.TCPMinimumSize {
		return Info{}, ErrTruncated
	}
	offset := int(tcp.DataOffset())
	if offset < header.TCPMinimumSize || offset > len(tcp) {
		return Info{}, ErrHeader
	}
	flags := tcp.Flags()
	syn := flags.Contains(header.TCPFlagSyn)
	if syn && flags.Intersects(header.TCPFlagFin|header.TCPFlagRst) {
		return Info{}, ErrFlags
	}
	info, err := newInfo(src, dst, tcp.SourcePort(), tcp.DestinationPort(), length)
	if err != nil {
		return Info{}, err
	}
	info.Key.Protocol = flow.ProtocolTCP
	info.Opening = syn && !flags.Contains(header.TCPFlagAck)
	info.Reset = flags.Contains(header.TCPFlagRst)
	info.Finish = flags.Contains(header.TCPFlagFin)
	return info, nil
}

func parseUDP(src, dst netip.Addr, udp header.UDP, length int) (Info, error) {
	if len(udp) < header.UDPMinimumSize {
		return Info{}, ErrTruncated
	}
	stated := int(udp.Length())
	if stated < header.UDPMinimumSize || stated > len(udp) {
		return Info{}, ErrHeader
	}
	info, err := newInfo(src, dst, udp.SourcePort(), udp.DestinationPort(), length)
	if err != nil {
		return Info{}, err
	}
	info.Key.Protocol = flow.ProtocolUDP
	info.Opening = true
	return info, nil
}

func newInfo(src, dst netip.Addr, srcPort, dstPort uint16, length int) (Info, error) {
	if srcPort == 0 || dstPort == 0 {
		return Info{}, ErrPort
	}
	key := flow.Key{Source: netip.AddrPortFrom(src, srcPort), Destination: netip.AddrPortFrom(dst, dstPort)}
	return Info{Key: key, Length: length}, nil
}
