package agent

import (
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/packet"
)

// mayLeave reports whether a packet of the agent's own stack may go to the caller: only packets of flows that this agent
// owns, or owned until a moment ago. Else the stack could reset a flow that lives at another agent.
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

// callerKey turns the key of a reply into the key of its flow.
func callerKey(k flow.Key) flow.Key {
	k.Source, k.Destination = k.Destination, k.Source
	return k
}
