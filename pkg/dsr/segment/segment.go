package segment

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

type Flags uint8

// Flags of a packet. Returned is set on a packet that a target returns since it does not hold its flow or has no
// room.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	Returned
)

// Segment is one decoded packet.
type Segment struct {
	// Source and Destination are the addresses of the sender and the receiver.
	Source          netip.AddrPort
	Destination     netip.AddrPort
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	// Age is the least time since the first transmission of an opening packet.
	Age time.Duration
	// NextRetransmission is how long after this transmission of an opening packet its caller sends the next one; 0
	// when it sends none.
	NextRetransmission time.Duration
	// Length is the number of data bytes.
	Length int
	// Raw is the whole packet; it is valid only during the call that it is passed to.
	Raw []byte
}

// Has reports whether all flags of f are set.
func (s Segment) Has(f Flags) bool { return s.Flags&f == f }

// IsOpening reports whether the packet opens a flow: a SYN without ACK.
func (s Segment) IsOpening() bool { return s.Has(SYN) && !s.Has(ACK) }

// CallerKey returns the flow's key for a packet from a caller.
func (s Segment) CallerKey() flow.Key {
	return flow.Key{Source: s.Source, Destination: s.Destination, Protocol: flow.ProtocolTCP}
}

// TargetKey returns the flow's key for a packet from a target.
func (s Segment) TargetKey() flow.Key {
	return flow.Key{Source: s.Destination, Destination: s.Source, Protocol: flow.ProtocolTCP}
}

// Codec decodes and encodes the packet format of a deployment.
type Codec interface {
	// Decode decodes the header of a packet. The result refers to b.
	Decode(b []byte) (Segment, error)
	// Restore turns a packet that a target returned back into the one that its sender wrote, in place.
	Restore(raw []byte)
	// Reset returns a packet that resets the flow of key for its caller. Sequence is the caller's last
	// acknowledgement, 0 when the flow is not open.
	Reset(key flow.Key, sequence uint32) []byte
}
