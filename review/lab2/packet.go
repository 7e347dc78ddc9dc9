package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet's header in bytes, little-endian, and the bits of its flags byte.
const (
	headerSize = 32
	offEcho    = 0
	offSum     = 4
	offSeq     = 8
	offAck     = 12
	offLen     = 16
	offSrc     = 18
	offDst     = 24
	offFlags   = 30
	offPad     = 31
	maxData    = 1200

	flagFIN     = 4
	flagSYN     = 8
	flagRST     = 16
	flagBounced = 32
	flagACK     = 128
)

// sumKey is the key of the checksum, which the daemons do not know.
const sumKey = "review-2"

// packet is one datagram of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	sum      uint32
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// isOpening reports whether the packet is a SYN without an ACK.
func (p packet) isOpening() bool { return p.has(flagSYN) && !p.has(flagACK) }

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(b[offSeq:], p.seq)
	binary.LittleEndian.PutUint32(b[offAck:], p.ack)
	binary.LittleEndian.PutUint16(b[offLen:], uint16(len(p.data)))
	putEndpoint(b[offSrc:], p.src)
	putEndpoint(b[offDst:], p.dst)
	b[offFlags] = p.flags
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[offSum:], checksum(b))
	return b
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

var errPacket = errors.New("not a packet")

func decode(b []byte) (packet, error) {
	if len(b) < headerSize || headerSize+int(binary.LittleEndian.Uint16(b[offLen:])) != len(b) || len(b) > headerSize+maxData {
		return packet{}, errPacket
	}
	return packet{
		src: endpoint(b[offSrc:]), dst: endpoint(b[offDst:]), flags: b[offFlags],
		seq: binary.LittleEndian.Uint32(b[offSeq:]), ack: binary.LittleEndian.Uint32(b[offAck:]),
		data: append([]byte(nil), b[headerSize:]...), sum: binary.LittleEndian.Uint32(b[offSum:]),
	}, nil
}

// checksum is a keyed sum over all fields but echo, pad and BOUNCED.
func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[offEcho:offSeq])
	c[offPad], c[offFlags] = 0, c[offFlags]&^flagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(c)
	return h.Sum32()
}

// isSealed reports whether one of the two ends has written the packet as it is.
func isSealed(b []byte) bool {
	return len(b) >= headerSize && binary.LittleEndian.Uint32(b[offSum:]) == checksum(b)
}

// bounced returns the packet as a server returns it.
func bounced(b []byte) []byte {
	c := append([]byte(nil), b...)
	c[offFlags] |= flagBounced
	c[offPad] = 0
	return c
}
