package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Output carries out decisions. Its methods are called while a decision is made, and must not call back or block.
type Output interface {
	// ToTarget passes a caller's packet to the target.
	ToTarget(raw []byte)
	// ToCaller sends a packet of the target to the flow's caller.
	ToCaller(key flow.Key, raw []byte)
	// Reset ends a flow for its caller. Sequence is the caller's last acknowledgement.
	Reset(key flow.Key, sequence uint32)
	// ToBalancer sends a message to a balancer. The message is valid only during the call.
	ToBalancer(balancer netip.AddrPort, m *dsrpb.Message)
	// Decided reports a decision, for logs and counters.
	Decided(d Decision)
	// HealthChanged reports that the target was ejected because it fails, or is in use again. The balancers are to be
	// notified.
	HealthChanged(j HealthChange)
}

// Decision is one decision about a flow.
type Decision struct {
	Event   Event
	Key     flow.Key
	Hash    uint64
	Verdict dsrpb.Verdict
	// Busy and Slots are the target's load at the time of the decision.
	Busy  int
	Slots int
	// ColdPerSecond is the number of new flows that the target took in any second at that time; 0 when it was warm.
	ColdPerSecond float64
	Balancer      netip.AddrPort
	// Configuration is the version under which the balancer sent the packet.
	Configuration uint64
	// Waited is how long a request on an open flow was held; Late is set when it is handed over too late to be answered
	// in the promised time.
	Waited time.Duration
	Late   bool
}

// Event is a kind of decision.
type Event string

// Events.
const (
	// EventOffered: a new flow is offered to the target.
	EventOffered Event = "offered"
	// EventQueued: a new flow is queued until the target has room.
	EventQueued Event = "queued"
	// EventAbandoned: a queued flow's caller is gone.
	EventAbandoned Event = "given-up"
	// EventAccepted: the target has accepted the flow.
	EventAccepted Event = "accepted"
	// EventDeclined: the agent or its target did not take a packet; the verdict says why.
	EventDeclined Event = "declined"
	// EventRecovered: a flow that is older than the agent was found at the target.
	EventRecovered Event = "recovered"
	// EventReset: an open flow was reset because its target has lost it.
	EventReset Event = "reset"
	// EventRequestHeld: a request on an open flow waits for its turn.
	EventRequestHeld Event = "request-held"
	// EventRequestHandedOver: a held request is passed to the target.
	EventRequestHandedOver Event = "request-handed-over"
	// EventRequestCancelled: the caller of a held request has left.
	EventRequestCancelled Event = "request-cancelled"
)
