// Package packet reads the flow key and the TCP flags of a raw IP packet with the header package of gVisor.
//
// It accepts IPv4 and IPv6 packets that carry a whole TCP or UDP header. It allocates nothing and changes no byte.
package packet
