package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of a packet's header, as the protocol page gives it. All fields are little-endian.
const (
	headerSize = 32
	offSeq     = 8
	offAck     = 12
	offLen     = 16
	offSource  = 18
	offDest    = 24
	offFlags   = 30
	offPad     = 31
)

// Bits of the flags byte.
const (
	fin     = 4
	syn     = 8
	rst     = 16
	bounced = 32
	ack     = 128
)

// packet is a decoded packet. Raw is the datagram.
type packet struct {
	source, dest netip.AddrPort
	flags        byte
	seq, ack     uint32
	data         []byte
	raw          []byte
}

func (p packet) has(flags byte) bool { return p.flags&flags == flags }

// isOpening reports whether the packet asks to open a flow.
func (p packet) isOpening() bool { return p.flags&(syn|ack) == syn }

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(b[offSeq:], p.seq)
	binary.LittleEndian.PutUint32(b[offAck:], p.ack)
	binary.LittleEndian.PutUint16(b[offLen:], uint16(len(p.data)))
	putEndpoint(b[offSource:], p.source)
	putEndpoint(b[offDest:], p.dest)
	b[offFlags] = p.flags
	return append(b, p.data...)
}

func decode(datagram []byte) (packet, bool) {
	if len(datagram) < headerSize {
		return packet{}, false
	}
	b := append([]byte(nil), datagram...)
	p := packet{
		source: endpoint(b[offSource:]), dest: endpoint(b[offDest:]), flags: b[offFlags],
		seq: binary.LittleEndian.Uint32(b[offSeq:]), ack: binary.LittleEndian.Uint32(b[offAck:]), data: b[headerSize:], raw: b,
	}
	return p, int(binary.LittleEndian.Uint16(b[offLen:])) == len(p.data)
}

func putEndpoint(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(ip[:]))
	binary.LittleEndian.PutUint16(b[4:], a.Port())
}

func endpoint(b []byte) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], binary.LittleEndian.Uint32(b))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), binary.LittleEndian.Uint16(b[4:]))
}

// bounce returns the packet as a server returns one that it does not take.
func bounce(p packet) []byte {
	b := append([]byte(nil), p.raw...)
	b[offFlags] |= bounced
	b[offPad] = 0
	return b
}
