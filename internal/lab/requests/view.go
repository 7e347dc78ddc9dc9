package requests

import "github.com/auburnwood/auburnwood/pkg/request"

// view is what one agent knows of the others of its service.
type view struct {
	cluster *cluster
	service string
	self    string
}

// Candidates returns the agents that don't leave.
func (v *view) Candidates() []request.Peer {
	if !v.cluster.policy.steers() {
		return nil
	}
	var peers []request.Peer
	for _, a := range v.cluster.list(v.service) {
		if a.name != v.self && !a.leaving.Load() {
			peers = append(peers, a.peer())
		}
	}
	return peers
}

// Find returns an agent by name; of two incarnations the later.
func (v *view) Find(name string) (request.Peer, bool) {
	agents := v.cluster.list(v.service)
	for i := len(agents) - 1; i >= 0; i-- {
		if agents[i].name == name {
			return agents[i].peer(), true
		}
	}
	return request.Peer{}, false
}

func (a *agent) peer() request.Peer {
	return request.Peer{Agent: a.name, Control: addrPort(a.control.Addr())}
}
