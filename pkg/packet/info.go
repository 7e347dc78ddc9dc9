package packet

import "github.com/auburnwood/auburnwood/pkg/flow"

// Info is what the packet path needs to know of a packet.
type Info struct {
	// Key is the five-tuple, seen from the caller.
	Key flow.Key
	// Opening is true for a TCP SYN without ACK and for every UDP packet.
	Opening bool
	// Reset is true when the TCP RST flag is set.
	Reset bool
	// Finish is true when the TCP FIN flag is set.
	Finish bool
	// Length is the packet's length in bytes as its IP header states it; bytes after it are padding.
	Length int
}
