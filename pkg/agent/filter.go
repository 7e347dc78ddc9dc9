package agent

import (
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/packet"
)

// mayLeave reports whether a packet of the agent's own stack may be sent to the caller: only packets of flows that this
// agent owns or that ended here recently. Otherwise the stack could reset a flow that another agent owns.
func (a *Agent) mayLeave(raw []byte) bool {
	info, err := packet.Parse(raw)
	if err != nil {
		return false
	}
	hash := callerKey(info.Key).Hash()
	if a.arbiter.Owns(hash) {
		return true
	}
	f := a.registry.get(hash)
	return f != nil && f.mayFinish()
}

// callerKey returns the flow key of a reply by swapping source and destination.
func callerKey(k flow.Key) flow.Key {
	k.Source, k.Destination = k.Destination, k.Source
	return k
}
