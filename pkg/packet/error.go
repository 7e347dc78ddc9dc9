package packet

// Error is the reason why a packet is not accepted. Its values are small constants, so that returning one does not
// allocate.
type Error uint8

// Errors of Parse.
const (
	// ErrTruncated means that the packet ends within its headers, or before its stated length.
	ErrTruncated Error = iota + 1
	// ErrVersion means that the packet is neither IPv4 nor IPv6.
	ErrVersion
	// ErrHeader means that a header has an invalid length.
	ErrHeader
	// ErrChecksum means that the IPv4 header checksum is wrong.
	ErrChecksum
	// ErrFragment means that the packet is a fragment.
	ErrFragment
	// ErrProtocol means that the packet carries neither TCP nor UDP.
	ErrProtocol
	// ErrFlags means that SYN is combined with FIN or RST.
	ErrFlags
	// ErrPort means that a port is 0.
	ErrPort
	// ErrAddress means that the source is unspecified or multicast, or that an IPv6 packet has an IPv4-mapped address, whose
	// flow hash would equal that of an IPv4 flow.
	ErrAddress
)

// errorReasons has the reasons by Error value; the first is for values that are not defined.
var errorReasons = [...]string{
	"unknown", "truncated", "ip-version", "header-length", "checksum", "fragment", "protocol", "tcp-flags", "port", "address",
}

// Reason returns a short constant name for log fields and metric tags.
func (e Error) Reason() string {
	if int(e) >= len(errorReasons) {
		return errorReasons[0]
	}
	return errorReasons[e]
}

// Error implements error.
func (e Error) Error() string { return "packet refused: " + e.Reason() }
