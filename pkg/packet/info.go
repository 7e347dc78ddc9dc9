package packet

import "github.com/auburnwood/auburnwood/pkg/flow"

// Info has the properties of a packet that the packet path uses.
type Info struct {
	// Key is the five-tuple, seen from the caller.
	Key flow.Key
	// Opening is true for a TCP SYN without ACK and for every UDP packet.
	Opening bool
	// Reset is true when the TCP RST flag is set.
	Reset bool
	// Finish is true when the TCP FIN flag is set.
	Finish bool
	// Length is the packet's length in bytes according to its IP header; bytes beyond it are padding.
	Length int
}
