// Package dsrtest holds a simple packet format for pass-through services, shared by tests and the lab.
package dsrtest

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Layout of the format: flags, attempt, sequence, acknowledgement, both addresses, data.
const (
	offsetSequence = 2
	offsetAck      = 6
	offsetSource   = 10
	offsetDest     = offsetSource + wire.AddrSize
	// HeaderSize is the number of bytes before the data.
	HeaderSize = offsetDest + wire.AddrSize
)

// ErrShort is the error of a packet with an incomplete header.
var ErrShort = errors.New("packet is too short")

// transmissionAges are the times at which a caller sends its opening packet, counted from the first transmission;
// retransmitDelays are the times from one transmission to the next.
var (
	transmissionAges = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}
)

// Codec is the test packet format.
type Codec struct{}

var _ segment.Codec = Codec{}

// Packet is a packet to encode. Attempt is the number of the transmission of an opening packet, from 0.
type Packet struct {
	Source, Destination       netip.AddrPort
	Flags                     segment.Flags
	Attempt                   byte
	Sequence, Acknowledgement uint32
	Data                      []byte
}

func Encode(p Packet) []byte {
	b := make([]byte, offsetSource, HeaderSize+len(p.Data))
	b[0], b[1] = byte(p.Flags), p.Attempt
	binary.BigEndian.PutUint32(b[offsetSequence:], p.Sequence)
	binary.BigEndian.PutUint32(b[offsetAck:], p.Acknowledgement)
	b = wire.AppendAddr(b, p.Source)
	b = wire.AppendAddr(b, p.Destination)
	return append(b, p.Data...)
}

// Decode implements segment.Codec.
func (Codec) Decode(b []byte) (segment.Segment, error) {
	if len(b) < HeaderSize {
		return segment.Segment{}, ErrShort
	}
	source, _ := wire.Addr(b[offsetSource:])
	destination, _ := wire.Addr(b[offsetDest:])
	s := segment.Segment{
		Source:          source,
		Destination:     destination,
		Flags:           segment.Flags(b[0]),
		Sequence:        binary.BigEndian.Uint32(b[offsetSequence:]),
		Acknowledgement: binary.BigEndian.Uint32(b[offsetAck:]),
		Length:          len(b) - HeaderSize,
		Age:             transmissionAges[min(int(b[1]), len(transmissionAges)-1)],
		Raw:             b,
	}
	if attempt := int(b[1]); s.IsOpening() && attempt < len(retransmitDelays) {
		s.NextRetransmission = retransmitDelays[attempt]
	}
	return s, nil
}

func Data(raw []byte) []byte { return raw[HeaderSize:] }

// Restore implements segment.Codec.
func (Codec) Restore(raw []byte) { raw[0] &^= byte(segment.Returned) }

// Reset implements segment.Codec.
func (Codec) Reset(key flow.Key, sequence uint32) []byte {
	return Encode(Packet{Source: key.Destination, Destination: key.Source, Flags: segment.RST, Sequence: sequence})
}
