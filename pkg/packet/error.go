package packet

// Error says why a packet was not accepted. Its values are small constants, so that returning one allocates nothing.
type Error uint8

// Errors of Parse.
const (
	// ErrTruncated means that the packet ends before its headers do, or before its stated length.
	ErrTruncated Error = iota + 1
	// ErrVersion means that the packet is neither IPv4 nor IPv6.
	ErrVersion
	// ErrHeader means that a header states an impossible length.
	ErrHeader
	// ErrChecksum means that the IPv4 header checksum is wrong.
	ErrChecksum
	// ErrFragment means that the packet is a part of a larger one.
	ErrFragment
	// ErrProtocol means that the packet carries neither TCP nor UDP.
	ErrProtocol
	// ErrFlags means that the TCP flags contradict each other.
	ErrFlags
	// ErrPort means that a port is 0.
	ErrPort
	// ErrAddress means that the source cannot be answered (unspecified or multicast), or that an IPv6 packet carries an
	// IPv4-mapped address, whose flow hash would equal that of an IPv4 flow.
	ErrAddress
)

// Reasons in the order of the constants; the first is not used.
var errorReasons = [...]string{
	"unknown", "truncated", "ip-version", "header-length", "checksum", "fragment", "protocol", "tcp-flags", "port", "address",
}

// Reason returns a short constant name, fit for a log field or a metric tag.
func (e Error) Reason() string {
	if int(e) >= len(errorReasons) {
		return errorReasons[0]
	}
	return errorReasons[e]
}

// Error implements error.
func (e Error) Error() string { return "packet refused: " + e.Reason() }
