package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Output carries decisions out. Its methods are called while a decision is made, and must not call back or block.
type Output interface {
	// ToAgent sends a message to an agent. The message is valid only during the call.
	ToAgent(agent netip.AddrPort, m *dsrpb.Message)
	// Reset ends a flow for its caller.
	Reset(key flow.Key, sequence uint32)
	// Refused reports a flow that was refused.
	Refused(r Refusal)
	// Decided reports a decision, for logs and counters.
	Decided(d Decision)
	// Outdated tells that an agent has heard of a newer configuration from another balancer.
	Outdated(version uint64)
}

// Refusal is one refused flow.
type Refusal struct {
	Key     flow.Key
	Hash    uint64
	Service string
	Reason  refusal.Reason
	// Run says whether work may have been done for the flow.
	Run refusal.Run
	// Notified is set when the caller was told at once. It is not when the flow may be open elsewhere: callers then go on
	// waiting, and their next copy is a new try.
	Notified bool
	// Tried is the number of agents that were asked, Waited the time since the opening packet came.
	Tried         int
	Waited        time.Duration
	Configuration uint64
}

// Decision is one decision about a flow.
type Decision struct {
	Event   Event
	Key     flow.Key
	Hash    uint64
	Service string
	// Agent is the agent that it is about, Load the load that the balancer took it to have, in requests for each slot.
	Agent netip.AddrPort
	Load  float64
	// ReportAge is the age of the agent's last report.
	ReportAge     time.Duration
	Verdict       dsrpb.Verdict
	Tried         int
	Waited        time.Duration
	Configuration uint64
}

// Event names a kind of decision.
type Event string

// Events.
const (
	// EventPlaced: a target has taken the new flow.
	EventPlaced Event = "placed"
	// EventDeclined: an agent did not take a new flow.
	EventDeclined Event = "declined"
	// EventUnanswered: an agent did not answer in time.
	EventUnanswered Event = "unanswered"
	// EventLocated: the owner of an open flow was found.
	EventLocated Event = "located"
	// EventLost: no agent holds a flow.
	EventLost Event = "lost"
)
