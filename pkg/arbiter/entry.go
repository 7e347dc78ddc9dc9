package arbiter

import "time"

// stamp is a time since the arbiter's epoch in units of 10 ms. It wraps after 497 days; only differences are used.
type stamp uint32

const stampUnit = 10 * time.Millisecond

// since returns the time from s to now.
func (s stamp) since(now stamp) time.Duration {
	return time.Duration(now-s) * stampUnit
}

// state says what an entry means.
type state uint8

const (
	// stateOwn is an open flow of this agent.
	stateOwn state = iota + 1
	// stateEnded is a flow of this agent that ended a short time ago.
	stateEnded
	// stateRedirect is a flow of another agent.
	stateRedirect
	// stateAsked is an opening flow about which another possible arbiter is asked.
	stateAsked
	// stateOffered is an opening flow that is offered to another agent.
	stateOffered
	// stateBeyond is like stateOffered for an agent outside the row.
	stateBeyond
	// stateLocating is a flow whose owner is being asked for.
	stateLocating
	// stateLost is a flow that every agent of the service denies.
	stateLost
)

// flags of an entry.
const (
	// flagOpen marks a flow whose handshake is complete.
	flagOpen uint8 = 1 << iota
	// flagEnded marks a redirect whose owner reported the end; only the owner knows whether a newer flow has the same key.
	flagEnded
	// flagFinal marks an offer that may be declined only for lack of room.
	flagFinal
	// flagYielded marks a redirect to another arbiter, which may not have placed the flow yet.
	flagYielded
	// flagDied marks a located or lost flow whose last known owner is gone.
	flagDied
	// flagProbed marks a redirect on which an opening packet went to the owner; the owner may answer that it does not know the flow.
	flagProbed
	// flagByOffer marks a probed redirect whose opening packet came by an offer.
	flagByOffer
	// flagDeclined marks a yielded redirect to an arbiter whose offer this agent declined for its load.
	flagDeclined
)

// entry is what the arbiter knows of one flow. It is 8 bytes.
type entry struct {
	at    stamp
	peer  peerID
	state state
	flags uint8
}

// has reports whether the entry has the flag.
func (e entry) has(flag uint8) bool { return e.flags&flag != 0 }

// pending is the progress of an opening flow; it is kept apart from entry, since few flows are opening at once.
type pending struct {
	// excluded has a bit for each row position that has no room.
	excluded uint8
	// offered has a bit for each row position to which the flow was offered before.
	offered uint8
	// tries counts the offers made within the row, or the agents asked.
	tries uint8
	// seenBeyond counts the targets of the whole service that were looked at outside the row, and offeredBeyond the offers
	// made to them.
	seenBeyond    uint16
	offeredBeyond uint8
	// sent is the number of hops with which the last question or offer left; it tells late answers to earlier ones.
	sent uint8
	// full is set when an agent declined for lack of room.
	full bool
	// draining is set when an agent declined because it drains.
	draining bool
}
