package segment

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Flags are the flags of a packet.
type Flags uint8

// Flags of a packet. Returned is set on a packet that a target hands back since it does not hold its flow or has no room.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	Returned
)

// Segment is one decoded packet.
type Segment struct {
	// Source and Destination are the sender's and the receiver's end.
	Source      netip.AddrPort
	Destination netip.AddrPort
	Flags       Flags
	// Sequence and Acknowledgement are the packet's numbers.
	Sequence        uint32
	Acknowledgement uint32
	// Age is the least time since the first copy of an opening packet.
	Age time.Duration
	// NextRetransmission is how long after this copy of an opening packet its caller sends the next one; 0 when it sends none.
	NextRetransmission time.Duration
	// Length is the number of data bytes.
	Length int
	// Raw is the whole packet; it is valid only during the call that it is handed to.
	Raw []byte
}

// Has reports whether all flags of f are set.
func (s Segment) Has(f Flags) bool { return s.Flags&f == f }

// IsOpening reports whether the packet asks to open a flow.
func (s Segment) IsOpening() bool { return s.Has(SYN) && !s.Has(ACK) }

// CallerKey returns the flow's key for a packet that a caller sent.
func (s Segment) CallerKey() flow.Key {
	return flow.Key{Source: s.Source, Destination: s.Destination, Protocol: flow.ProtocolTCP}
}

// TargetKey returns the flow's key for a packet that a target sent.
func (s Segment) TargetKey() flow.Key {
	return flow.Key{Source: s.Destination, Destination: s.Source, Protocol: flow.ProtocolTCP}
}

// Codec reads and writes the packet format of a deployment.
type Codec interface {
	// Decode reads the header of a packet. The result refers to b.
	Decode(b []byte) (Segment, error)
	// Restore makes a packet that a target returned what its sender wrote, in place.
	Restore(raw []byte)
	// Reset returns a packet that ends the flow of key for its caller. Sequence is the caller's last acknowledgement,
	// 0 when the flow is not open.
	Reset(key flow.Key, sequence uint32) []byte
}
