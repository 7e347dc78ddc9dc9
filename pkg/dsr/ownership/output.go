package ownership

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Output carries decisions out. Its methods are called while a decision is made, and must not call back or block.
type Output interface {
	// ToTarget hands a caller's packet to the target.
	ToTarget(raw []byte)
	// ToCaller sends a packet of the target to the flow's caller.
	ToCaller(key flow.Key, raw []byte)
	// Reset ends a flow for its caller. Sequence is the caller's last acknowledgement.
	Reset(key flow.Key, sequence uint32)
	// ToBalancer sends a message to a balancer. The message is valid only during the call.
	ToBalancer(balancer netip.AddrPort, m *dsrpb.Message)
	// Decided reports a decision, for logs and counters.
	Decided(d Decision)
	// HealthChanged reports that the target is left out since it fails, or in use again. The balancers are to be told.
	HealthChanged(j HealthChange)
}

// Decision is one decision about a flow.
type Decision struct {
	Event   Event
	Key     flow.Key
	Hash    uint64
	Verdict dsrpb.Verdict
	// Busy and Slots are the target's load when it was decided.
	Busy  int
	Slots int
	// ColdPerSecond is the number of new flows that the target took in any second when it was decided; 0 when it was warm.
	ColdPerSecond float64
	// Balancer is the balancer that sent the packet.
	Balancer netip.AddrPort
	// Configuration is the version under which the balancer sent it.
	Configuration uint64
}

// Event names a kind of decision.
type Event string

// Events.
const (
	// EventOffered: a new flow is offered to the target.
	EventOffered Event = "offered"
	// EventQueued: a new flow waits for the target to have room.
	EventQueued Event = "queued"
	// EventAbandoned: a waiting flow's caller is gone.
	EventAbandoned Event = "given-up"
	// EventAccepted: the target has taken the flow.
	EventAccepted Event = "accepted"
	// EventDeclined: the agent or its target did not take a packet; the verdict says why.
	EventDeclined Event = "declined"
	// EventRecovered: a flow that is older than the agent was found with the target.
	EventRecovered Event = "recovered"
	// EventReset: an open flow was reset since its target has lost it.
	EventReset Event = "reset"
)
