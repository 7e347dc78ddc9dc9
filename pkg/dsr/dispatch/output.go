package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Output receives the decisions. Its methods are called while a decision is made, and must not call back or block.
type Output interface {
	// ToAgent sends a message to an agent. The message is valid only during the call.
	ToAgent(agent netip.AddrPort, m *dsrpb.Message)
	// Reset sends a reset of the flow to its caller.
	Reset(key flow.Key, sequence uint32)
	// Refused reports a refused flow.
	Refused(r Refusal)
	// Decided reports a decision, for logs and counters.
	Decided(d Decision)
	// Outdated reports that an agent knows of a newer configuration than the one in force.
	Outdated(version uint64)
	// SaturationChanged reports that the overload of a service has begun or ended.
	SaturationChanged(s overload.Status)
}

// Refusal describes a refused flow.
type Refusal struct {
	Key     flow.Key
	Hash    uint64
	Service string
	Reason  refusal.Reason
	// Run says whether a target may have done work for the flow.
	Run refusal.Run
	// Notified is set when the caller was sent a reset at once. It is not set when the flow may be open elsewhere: the
	// caller then keeps waiting, and its next retransmission is a new try.
	Notified bool
	// Tried is the number of offers made, Waited the time since the opening packet arrived.
	Tried         int
	Waited        time.Duration
	Configuration uint64
}

// Decision describes one decision about a flow.
type Decision struct {
	Event   Event
	Key     flow.Key
	Hash    uint64
	Service string
	// Agent is the agent concerned, Load the balancer's estimate of its load in requests per slot: of the agent that was
	// offered the flow, when it was offered.
	Agent netip.AddrPort
	Load  float64
	// ReportAge is the age of the report behind Load.
	ReportAge time.Duration
	// Expected is the time until the answer to the flow's first request that was expected of the agent that was offered
	// the flow last. Imbalance is the load by pace of the service's busiest target as a multiple of the mean, 0 when
	// there is no load.
	Expected      time.Duration
	Imbalance     float64
	Verdict       dsrpb.Verdict
	Tried         int
	Waited        time.Duration
	Configuration uint64
}

// Event is a kind of decision.
type Event string

// Events.
const (
	// EventPlaced: a target has accepted the new flow.
	EventPlaced Event = "placed"
	// EventDeclined: an agent has declined a new flow.
	EventDeclined Event = "declined"
	// EventUnanswered: an agent did not answer an offer in time.
	EventUnanswered Event = "unanswered"
	// EventLocated: the owner of an open flow was found.
	EventLocated Event = "located"
	// EventLost: no owner of a flow was found.
	EventLost Event = "lost"
	// EventProbed: a packet of the flow is offered to all agents that may hold it, in groups.
	EventProbed Event = "probed"
	// EventGone: no target holds the flow, and its caller was reset.
	EventGone Event = "gone"
)
