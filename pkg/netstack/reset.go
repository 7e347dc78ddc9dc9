package netstack

import (
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

const resetTTL = 64

// Reset returns the IP packet that answers the TCP packet offending with a reset (RFC 9293, section 3.10.7.1). It
// returns false when offending is not a complete TCP segment, or is a reset, which must not be answered.
func Reset(offending []byte) ([]byte, bool) {
	source, destination, segment, ok := tcpOf(offending)
	if !ok || segment.Flags().Contains(header.TCPFlagRst) {
		return nil, false
	}
	fields := resetFields(segment)
	if source.Len() == header.IPv4AddressSize {
		return reset4(destination, source, fields), true
	}
	return reset6(destination, source, fields), true
}

func tcpOf(packet []byte) (source, destination tcpip.Address, segment header.TCP, ok bool) {
	number, ok := networkProtocol(packet)
	if !ok {
		return source, destination, nil, false
	}
	var protocol tcpip.TransportProtocolNumber
	if number == header.IPv4ProtocolNumber {
		ip := header.IPv4(packet)
		if ip.More() || ip.FragmentOffset() != 0 {
			return source, destination, nil, false
		}
		source, destination = ip.SourceAddress(), ip.DestinationAddress()
		protocol, segment = ip.TransportProtocol(), header.TCP(packet[ip.HeaderLength():ip.TotalLength()])
	} else {
		ip := header.IPv6(packet)
		source, destination = ip.SourceAddress(), ip.DestinationAddress()
		protocol = tcpip.TransportProtocolNumber(ip.NextHeader())
		segment = header.TCP(packet[header.IPv6MinimumSize:][:ip.PayloadLength()])
	}
	if protocol != header.TCPProtocolNumber || len(segment) < header.TCPMinimumSize {
		return source, destination, nil, false
	}
	offset := int(segment.DataOffset())
	return source, destination, segment, offset >= header.TCPMinimumSize && offset <= len(segment)
}

func resetFields(segment header.TCP) header.TCPFields {
	f := header.TCPFields{
		SrcPort:    segment.DestinationPort(),
		DstPort:    segment.SourcePort(),
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagRst,
	}
	if segment.Flags().Contains(header.TCPFlagAck) {
		f.SeqNum = segment.AckNumber()
		return f
	}
	f.Flags |= header.TCPFlagAck
	f.AckNum = segment.SequenceNumber() + uint32(len(segment)-int(segment.DataOffset()))
	if segment.Flags().Contains(header.TCPFlagSyn) {
		f.AckNum++
	}
	if segment.Flags().Contains(header.TCPFlagFin) {
		f.AckNum++
	}
	return f
}

func reset4(source, destination tcpip.Address, fields header.TCPFields) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         resetTTL,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     source,
		DstAddr:     destination,
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	encodeTCP(b[header.IPv4MinimumSize:], source, destination, fields)
	return b
}

func reset6(source, destination tcpip.Address, fields header.TCPFields) []byte {
	b := make([]byte, header.IPv6MinimumSize+header.TCPMinimumSize)
	header.IPv6(b).Encode(&header.IPv6Fields{
		PayloadLength:     header.TCPMinimumSize,
		TransportProtocol: header.TCPProtocolNumber,
		HopLimit:          resetTTL,
		SrcAddr:           source,
		DstAddr:           destination,
	})
	encodeTCP(b[header.IPv6MinimumSize:], source, destination, fields)
	return b
}

func encodeTCP(b []byte, source, destination tcpip.Address, fields header.TCPFields) {
	segment := header.TCP(b)
	segment.Encode(&fields)
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, source, destination, uint16(len(b)))
	segment.SetChecksum(^segment.CalculateChecksum(sum))
}
