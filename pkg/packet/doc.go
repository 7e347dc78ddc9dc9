// Package packet parses the flow key and the TCP flags of a raw IP packet with gVisor's header package.
//
// It accepts IPv4 and IPv6 packets with a complete TCP or UDP header. It does not allocate or modify the packet.
package packet
