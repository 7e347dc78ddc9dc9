package arbiter

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Input is a packet of a caller as received by the agent.
type Input struct {
	// Kind is KIND_FORWARD, KIND_OFFER or KIND_DECLINED.
	Kind wire.Kind
	// Flow is the hash of the packet's flow key.
	Flow uint64
	// Opening is true for a packet that may start a flow: a TCP SYN without ACK, or any UDP packet.
	Opening bool
	// Row holds the encoded packet addresses of the row, as the balancer ranked it.
	Row []byte
	// Position is this agent's index in Row.
	Position uint32
	// Hops counts the agents that the packet has passed.
	Hops uint32
	// Sender is the packet address of the process that sent the datagram.
	Sender netip.AddrPort
	// Load is the sender's number of open flows. Bound is the highest load at which an offer should be accepted; with
	// KIND_DECLINED it holds the reason.
	Load, Bound uint32
	// Final marks an offer that is not declined for load, only by an agent that is full or draining. With KIND_FORWARD
	// it means that the sender takes this agent for the flow's owner. KIND_DECLINED carries the value of the declined
	// packet.
	Final bool
}

// Action is what the agent does with a packet.
type Action uint8

const (
	// ActionDeliver hands the packet to the agent's own TCP or UDP stack.
	ActionDeliver Action = iota + 1
	// ActionForward sends the packet on to Decision.To as KIND_FORWARD.
	ActionForward
	// ActionOffer sends the opening packet to Decision.To as KIND_OFFER.
	ActionOffer
	// ActionDecline sends the opening packet back to Decision.To as KIND_DECLINED.
	ActionDecline
	// ActionRefuse answers the caller with a reset and writes a refusal record.
	ActionRefuse
	// ActionDrop drops the packet silently; the caller's TCP retransmits it.
	ActionDrop
)

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	// To is the packet address for ActionForward, ActionOffer and ActionDecline.
	To netip.AddrPort
	// Position is the receiver's index in the row.
	Position uint32
	// Bound is set for ActionOffer and ActionDecline, Final also for ActionForward; both are sent in the datagram.
	Bound uint32
	Final bool
	// Accepted is true when the packet starts a flow that this agent now owns; the agent logs it once.
	Accepted bool
	// Reason is why the packet is refused or dropped.
	Reason refusal.Reason
	// Why is one short constant text for the log, for example "least loaded of row".
	Why string
	// Load is this agent's number of open flows after the decision.
	Load uint32
	// Notify is a message to send in addition to the action, when Notify.To is valid.
	Notify Message
}

// Message is a control datagram from or to another process.
//
// A KIND_ENDED whose To is the agent itself is not sent: the agent then closes its own endpoints of Flows silently,
// without a reset to the caller, because another agent owns them.
type Message struct {
	// To is the receiver's packet address.
	To netip.AddrPort
	// Kind is KIND_PLACED, KIND_MOVED, KIND_ENDED, KIND_LOCATE, KIND_LOCATED or KIND_LOAD.
	Kind wire.Kind
	// Flow is the flow hash of a message about one flow; it is ignored unless Flows is empty.
	Flow uint64
	// Flows are the flow hashes of a message about several flows; every kind but KIND_LOAD may have them.
	Flows []uint64
	// Owner is the owner's packet address, or the zero value when not known.
	Owner netip.AddrPort
	// Load is the sender's number of open flows.
	Load uint32
	// Incarnation is the incarnation of the sending agent, as in the datagram.
	Incarnation uint64
	// Final marks flows whose handshake is complete, in KIND_PLACED, KIND_MOVED and KIND_LOCATED (the datagram's field final).
	Final bool
}
