package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// phase is how far a flow has come.
type phase uint8

const (
	// opening: an agent was asked and has not answered.
	opening phase = iota
	// queued: the flow waits at an agent.
	queued
	// parked: the flow waits for a configuration or an agent.
	parked
	// open: at least one target holds the flow.
	open
	// locating: agents were asked who holds the flow.
	locating
	// probing: an agent was handed a packet that its target may return.
	probing
	// lost: nobody holds the flow as far as is known.
	lost
	// refused: the flow was refused.
	refused
)

// owner is a target that holds a flow.
type owner struct {
	agent       netip.AddrPort
	hasSequence bool
	// sequence is the caller's last acknowledgement, or the number at which the flow opened, as the agent last said.
	sequence uint32
}

// flowState is what the balancer knows of one flow.
type flowState struct {
	key     flow.Key
	hash    uint64
	service string
	phase   phase
	owners  []owner
	// settled is set once the caller has acknowledged the number of the only owner.
	settled bool
	// arrived is when the first packet came; since when the phase began; touched the time of the last packet.
	arrived time.Time
	since   time.Time
	touched time.Time
	// packet is the opening packet while the flow opens; sequence is its number.
	packet   []byte
	sequence uint32
	patience dsrpb.Patience
	// tried are the agents asked at this patience; failed those that are not worth asking again.
	tried  []netip.AddrPort
	failed []netip.AddrPort
	asked  netip.AddrPort
	tries  int
	// hedgeAt is when the agent that was asked last must have answered, before the next one is.
	hedgeAt time.Time
	// stale is set while the flow waits for a newer configuration.
	stale bool
	// uncertain is set when another balancer or an agent that did not answer may have opened the flow; reset is set when
	// its caller was told of the refusal.
	uncertain bool
	reset     bool
	// opening describes the flow to agents.
	opening dsrpb.Opening
	// closed is set once the caller has closed the flow.
	closed bool
	// held are packets that wait for the owner.
	held [][]byte
	// unasked are the agents that the search has still to ask, step the number of those that are asked next. unanswered are those
	// that have not answered, rounds the number of times that they were asked since the last step; unknown are those that could
	// not tell. wide is set when agents of other services are asked too.
	unasked    []netip.AddrPort
	step       int
	unanswered []netip.AddrPort
	rounds     int
	unknown    []netip.AddrPort
	wide       bool
	// missed is when a search first ended without an owner.
	missed time.Time
	probes int
	probed time.Time
	// waited is set once the held packets were kept for a second search.
	waited bool
	// handed are the agents that were handed a packet on suspicion.
	handed []netip.AddrPort
}

// ownerOf returns the owner whose answer the caller acknowledges; a caller that got several answers to its opening packet
// chose one of them. Nothing is returned when the caller must have chosen a target that is not known.
func (f *flowState) ownerOf(acknowledgement uint32) (netip.AddrPort, bool) {
	if f.settled && len(f.owners) == 1 {
		return f.owners[0].agent, true
	}
	var unnumbered netip.AddrPort
	for _, o := range f.owners {
		if !o.hasSequence {
			unnumbered = o.agent
			continue
		}
		if distance := int32(acknowledgement - o.sequence); distance > -chosenWindow && distance < chosenWindow {
			f.settled = true
			f.owners = append(f.owners[:0], o)
			return o.agent, true
		}
	}
	return unnumbered, unnumbered.IsValid()
}

// chosenWindow is how far the caller's acknowledgement may be from the owner's number, in bytes, when the owner is not settled
// yet: several times what a target may have under way, 16 packets of 1,200 bytes. Later the numbers of a long flow move away.
const chosenWindow = 1 << 17

// addOwner notes a target that holds the flow.
func (f *flowState) addOwner(o owner) {
	if f.settled && len(f.owners) == 1 && f.owners[0].agent != o.agent {
		return
	}
	for i := range f.owners {
		if f.owners[i].agent == o.agent {
			if o.hasSequence {
				f.owners[i] = o
			}
			return
		}
	}
	f.owners = append(f.owners, o)
}

// dropOwner forgets a target.
func (f *flowState) dropOwner(a netip.AddrPort) {
	kept := f.owners[:0]
	for _, o := range f.owners {
		if o.agent != a {
			kept = append(kept, o)
		}
	}
	f.owners = kept
	f.settled = f.settled && len(kept) > 0
}

// hold keeps a copy of a packet until the owner is known.
func (f *flowState) hold(raw []byte) {
	if len(f.held) < MaxHeld {
		f.held = append(f.held, append([]byte(nil), raw...))
	}
}
