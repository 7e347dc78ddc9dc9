package request

import "net/netip"

// Peer is another agent of the same service.
type Peer struct {
	Agent string
	// Control is the address of the agent's control endpoint.
	Control netip.AddrPort
}

// Peers is the agent's view of the other agents of its service. Implementations must be fast and safe for concurrent
// use.
type Peers interface {
	// Candidates returns the agents that accept new work. The slice must not be modified.
	Candidates() []Peer
	// Find returns an agent by name, including draining agents.
	Find(agent string) (Peer, bool)
}

type noPeers struct{}

func (noPeers) Candidates() []Peer       { return nil }
func (noPeers) Find(string) (Peer, bool) { return Peer{}, false }
