package arbiter

import "time"

// stamp is a time since the arbiter's epoch in units of 10 ms. It wraps after 497 days; only differences are used.
type stamp uint32

const stampUnit = 10 * time.Millisecond

func (s stamp) since(now stamp) time.Duration {
	return time.Duration(now-s) * stampUnit
}

// state is the kind of an entry.
type state uint8

const (
	// stateOwn is an open flow of this agent.
	stateOwn state = iota + 1
	// stateEnded is a flow of this agent that ended recently.
	stateEnded
	// stateRedirect is a flow that another agent owns.
	stateRedirect
	// stateAsked is an opening flow about which another possible arbiter is asked.
	stateAsked
	// stateOffered is an opening flow that is offered to another agent.
	stateOffered
	// stateOfferedOutside is like stateOffered for an agent outside the row.
	stateOfferedOutside
	// stateLocating is a flow whose owner is being located.
	stateLocating
	// stateLost is a flow that every agent of the service denied owning.
	stateLost
)

// flags of an entry.
const (
	// flagOpen marks a flow whose handshake is complete.
	flagOpen uint8 = 1 << iota
	// flagEnded marks a redirect whose owner reported the end; only the owner knows whether a newer flow has the same key.
	flagEnded
	// flagFinal marks an offer that is not declined for load.
	flagFinal
	// flagYielded marks a redirect to another arbiter, which may not have placed the flow yet.
	flagYielded
	// flagOwnerGone marks a located or lost flow whose last known owner is gone.
	flagOwnerGone
	// flagProbed marks a redirect along which an opening packet was forwarded; the owner may answer that it does not
	// know the flow.
	flagProbed
	// flagByOffer marks a probed redirect whose opening packet was received as an offer.
	flagByOffer
	// flagDeclined marks a yielded redirect to an arbiter whose offer this agent declined for its load.
	flagDeclined
)

// entry is the arbiter's state of one flow; its size is 8 bytes.
type entry struct {
	at    stamp
	peer  peerID
	state state
	flags uint8
}

// has reports whether the entry has the flag.
func (e entry) has(flag uint8) bool { return e.flags&flag != 0 }

// pending is the progress of an opening flow; it is separate from entry because few flows are opening at once.
type pending struct {
	// excluded has a bit for each row position that has no room, drains or does not answer.
	excluded uint8
	// offered has a bit for each row position to which the flow was offered before.
	offered uint8
	// tries counts the offers made within the row, or the agents asked.
	tries uint8
	// seenOutside counts the targets of the whole service that were considered outside the row, and offeredOutside the
	// offers made to them.
	seenOutside    uint16
	offeredOutside uint8
	// sentHops is the hop count of the last question or offer; an answer without more hops is to an earlier one.
	sentHops uint8
	// full is set when an agent declined for lack of room.
	full bool
	// draining is set when an agent declined because it drains.
	draining bool
}
