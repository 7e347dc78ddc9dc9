package arbiter

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Input is one caller's packet as it reached the agent.
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
	// Load and Bound are the sender's load and the highest load at which an offer should be taken.
	Load, Bound uint32
	// Final marks an offer that may be declined only for lack of room; with KIND_FORWARD, that the sender holds this agent for the owner. The agent passes the datagram's field final, also back with KIND_DECLINED.
	Final bool
}

// Action says what the agent does with a packet.
type Action uint8

// Actions.
const (
	// ActionDeliver hands the packet to the agent's own TCP or UDP stack.
	ActionDeliver Action = iota + 1
	// ActionForward sends the packet on to Decision.To as KIND_FORWARD.
	ActionForward
	// ActionOffer sends the opening packet to Decision.To as KIND_OFFER.
	ActionOffer
	// ActionDecline sends the opening packet back to Decision.To as KIND_DECLINED.
	ActionDecline
	// ActionRefuse answers the caller with a reset and leaves a refusal record.
	ActionRefuse
	// ActionDrop drops the packet silently; the caller's TCP sends it again.
	ActionDrop
)

// Decision is the outcome for one packet.
type Decision struct {
	// Action says what to do.
	Action Action
	// To is the packet address for ActionForward, ActionOffer and ActionDecline.
	To netip.AddrPort
	// Position is the receiver's index in the row.
	Position uint32
	// Bound belongs to ActionOffer and ActionDecline, Final to these and to ActionForward; both go into the datagram.
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
	// Notify is a message to send besides the action, when Notify.To is valid.
	Notify Message
}

// Message is a datagram that the arbiter wants sent to another process.
//
// A KIND_ENDED whose To is the agent itself is not sent: the agent then drops its own endpoints of Flows silently, without a reset to the caller, because another agent owns them.
type Message struct {
	// To is the receiver's packet address.
	To netip.AddrPort
	// Kind is KIND_PLACED, KIND_MOVED, KIND_ENDED, KIND_LOCATE, KIND_LOCATED or KIND_LOAD.
	Kind wire.Kind
	// Flow is the flow hash of a message about one flow; it counts only when Flows is empty.
	Flow uint64
	// Flows are the flow hashes of a message about several flows; every kind but KIND_LOAD may have them.
	Flows []uint64
	// Owner is the owner's packet address, or the zero value when not known.
	Owner netip.AddrPort
	// Load is the sender's number of open flows.
	Load uint32
	// Incarnation is the incarnation of the sending agent; the receiver passes the datagram's.
	Incarnation uint64
	// Final marks flows whose handshake is complete, in KIND_PLACED, KIND_MOVED and KIND_LOCATED (the datagram's field final).
	Final bool
}
