package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evidence"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// phase is the stage of a flow's processing.
type phase uint8

const (
	// opening: the flow was offered to an agent that has not answered.
	opening phase = iota
	// queued: the flow waits at an agent.
	queued
	// parked: the flow waits at this balancer for a configuration or an agent.
	parked
	// open: at least one target holds the flow.
	open
	// locating: agents were asked whether they hold the flow.
	locating
	// probing: an agent that may hold the flow was sent a packet, which its target returns if it does not hold the
	// flow.
	probing
	// lost: no known target holds the flow.
	lost
	refused
)

// owner is a target that holds a flow.
type owner struct {
	agent       netip.AddrPort
	hasSequence bool
	// sequence is the caller's last acknowledgement or the initial sequence number of the target, as last reported.
	sequence uint32
}

// flowState is the balancer's state of one flow.
type flowState struct {
	key     flow.Key
	hash    uint64
	service string
	phase   phase
	owners  []owner
	// settled is set once the caller has acknowledged a number of the only owner.
	settled bool
	// arrived is when the first packet came, since when the phase began, and touched when the last packet came.
	arrived time.Time
	since   time.Time
	touched time.Time
	// packet is the opening packet until the flow is open or refused; sequence is its sequence number.
	packet   []byte
	sequence uint32
	// patience says whether the next agent may queue the flow. tried are the agents that were offered the flow with this
	// patience, and those in failed, which are not offered it with any patience. asked is the agent that was offered the
	// flow, or probed, last.
	patience dsrpb.Patience
	tried    []netip.AddrPort
	failed   []netip.AddrPort
	asked    netip.AddrPort
	// offer is the load that was assumed when the flow was last offered.
	offer loadEstimate
	// expected is the time to an answer that was expected of the agent that was offered the flow last.
	expected time.Duration
	tries    int
	// overloaded is set when the last agent declined the flow because its target's answer would be late.
	overloaded bool
	// hedgeAt is when the flow is offered to the next agent unless the last one has answered.
	hedgeAt time.Time
	// overLimit is the number of agents that declined the flow because of the connection limit of its service.
	overLimit int
	// stale is set while the flow waits for a newer configuration.
	stale bool
	// uncertain is set when another balancer, or an agent that did not answer, may have opened the flow; reset is set
	// when the caller was sent a reset for the refusal.
	uncertain bool
	reset     bool
	// opening describes the new flow in offers. offered is set once it was counted as demand of its service, taken once it
	// was found not to be excess; retry is set when its caller's address has lately had a flow refused or failed.
	opening dsrpb.Opening
	offered bool
	taken   bool
	retry   bool
	// dataEnd is the sequence number after the last byte that the caller has sent, valid once hasData is set.
	dataEnd uint32
	hasData bool
	// closed is set once the caller has closed the flow.
	closed bool
	// held are packets that wait until the owner is known.
	held [][]byte
	// unasked are the agents that the search has still to ask, step the number of agents that are asked next.
	// unanswered are those that have not answered, rounds the number of times that they were asked since the last step;
	// undetermined are those that could not tell. widened is set when agents of other services are asked too.
	unasked      []netip.AddrPort
	step         int
	unanswered   []netip.AddrPort
	rounds       int
	undetermined []netip.AddrPort
	widened      bool
	// firstMissed is when a search first ended without an owner, missedAck the acknowledgement of the packet that started
	// it.
	firstMissed time.Time
	missedAck   uint32
	// probes is the number of probes since ProbeWindow last passed without one, lastProbe the time of the last probe.
	probes    int
	lastProbe time.Time
	// retried is set once the held packets were kept for a second search.
	retried bool
	// probed are all agents that were sent a probe.
	probed []netip.AddrPort
	// searchedAt is when the current search began.
	searchedAt time.Time
	// question is the number that answers repeat, evidence what they prove; nil when not all agents are known.
	question uint32
	evidence *evidence.Search
	// missed is set once the current search has ended without an owner.
	missed bool
	// rechecked is set once agents were asked again in the current search.
	rechecked bool
	// group is the state of probes in groups.
	group probeGroup
	// gone is set once the flow was reset since no target holds it.
	gone bool
}

// ownerOf returns the owner whose sequence number the caller acknowledges: when several targets answered the opening
// packet, the caller chose one of them. It returns false when the caller must have chosen a target that is not known.
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

// chosenWindow is how far, in bytes, the acknowledgement may be from the owner's number while the owner is not settled:
// several times what a target may have in flight (16 packets of 1,200 bytes). Later, the numbers of a long flow move
// away.
const chosenWindow = 1 << 17

// addOwner adds or updates a target that holds the flow. A different target is ignored once the owner is settled.
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

// hold keeps a copy of a packet until the owner is known, up to MaxHeld packets.
func (f *flowState) hold(raw []byte) {
	if len(f.held) < MaxHeld {
		f.held = append(f.held, append([]byte(nil), raw...))
	}
}

// recordMissing notes the packet that starts a search. One that cannot be of the flow that was missed before is of another
// flow of the same key, about which nothing has been answered.
func (f *flowState) recordMissing(acknowledgement uint32) {
	distance := int32(acknowledgement - f.missedAck)
	if distance <= -chosenWindow || distance >= chosenWindow {
		f.firstMissed = time.Time{}
		f.evidence, f.group.probed = nil, nil
	}
	f.missedAck = acknowledgement
}
