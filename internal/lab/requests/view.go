package requests

import "github.com/auburnwood/auburnwood/pkg/request"

// view is one agent's view of the other agents of its service.
type view struct {
	cluster *cluster
	service string
	self    string
}

// Candidates returns the other agents that aren't leaving; none with a policy that doesn't balance load.
func (v *view) Candidates() []request.Peer {
	if !v.cluster.policy.balancesLoad() {
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

// Find returns the agent with the name, the latest incarnation if there are several.
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
