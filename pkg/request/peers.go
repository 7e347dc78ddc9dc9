package request

import "net/netip"

// Peer is another agent of the same service.
type Peer struct {
	// Agent is the agent's name.
	Agent string
	// Control is the address of its control endpoint.
	Control netip.AddrPort
}

// Peers is the agent's view of the other agents of its service. It must be quick and safe for concurrent use.
type Peers interface {
	// Candidates returns the agents that may be given new work; the caller doesn't change the slice.
	Candidates() []Peer
	// Find returns an agent by name, also one that drains.
	Find(agent string) (Peer, bool)
}

type noPeers struct{}

func (noPeers) Candidates() []Peer       { return nil }
func (noPeers) Find(string) (Peer, bool) { return Peer{}, false }
