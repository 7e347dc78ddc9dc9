package agentd

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/request"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// peerTable holds the other agents of a service, as listed in the view.
type peerTable struct {
	// candidates are the agents that may be given new requests.
	candidates []request.Peer
	// all holds every agent with a control address, by name.
	all map[string]request.Peer
}

func newPeerTable(v *view.Service, self string) *peerTable {
	t := &peerTable{all: map[string]request.Peer{}}
	for _, x := range v.Targets {
		addr, err := netip.ParseAddrPort(x.Control)
		if err != nil || x.ID == self {
			continue
		}
		p := request.Peer{Agent: x.ID, Control: addr}
		t.all[x.ID] = p
		if x.State == view.StateActive && x.Weight > 0 {
			t.candidates = append(t.candidates, p)
		}
	}
	return t
}
