package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// phase is the state of a flow.
type phase uint8

const (
	// queued: the opening packet waits until the target has room.
	queued phase = iota
	// offered: the target has the opening packet and has not answered.
	offered
	// probing: the target has a packet of a flow that this agent did not know, and may return it.
	probing
	// open: the target holds the flow.
	open
	// ended: both ends have closed the flow, or one has reset it.
	ended
)

// entry is one flow that the target holds or is offered.
type entry struct {
	// origin is the balancer that last sent a packet of the flow.
	origin netip.AddrPort
	phase  phase
	// busy is set while the target has work for the flow: from the opening packet, or a later request, until it
	// answers.
	busy bool
	// working is set while the target has a request; hadFreeSlot is set when a slot was free as that request arrived.
	working bool
	// further is set while the target has a request that is not the first one of its flow.
	further     bool
	hadFreeSlot bool
	// requestBy is when the flow stops counting as work unless its caller has sent a request.
	requestBy time.Time
	// failed is set when the current request counts as failed.
	failed bool
	// reply is the answer to the current request.
	reply reply
	// answered is set once the target has sent data, requested once the caller has.
	answered  bool
	requested bool
	// dataEnd is the sequence number after the last byte that the caller has sent, valid once hasData is set. A flow
	// that is older than the agent counts as requested although none of its data was seen.
	dataEnd uint32
	hasData bool
	// hasSequence is set when initialSequence, the sequence number of the target's answer to the opening packet, is
	// known.
	hasSequence     bool
	initialSequence uint32
	// packet is the opening packet until the target has answered it, configuration the version under which it was sent.
	packet        []byte
	configuration uint64
	// callerAck is the caller's last acknowledgement number, valid once acknowledged is set.
	callerAck    uint32
	acknowledged bool
	// callerClosed and targetClosed are set when that end has sent its FIN.
	callerClosed bool
	targetClosed bool
	// released is set once the target no longer holds a connection for the flow.
	released bool
	// request is the caller's last packet with data while the target works on it.
	request []byte
	// requestResent is set when the request was sent again to a new incarnation of the target.
	requestResent bool
	// held is a request that waits for its turn, nil when there is none.
	held *held
	// since is when the phase began, touched the time of the last packet, busySince when the work arrived.
	since     time.Time
	touched   time.Time
	busySince time.Time
}

// ackWindow is how far a packet's acknowledgement may be from the last one, in bytes: several times what a target may
// have in flight, 16 packets of 1,200 bytes. A number that another target chose falls within it once in 16,384 times.
const ackWindow = 1 << 17

// matches reports whether a packet with the given acknowledgement can belong to the flow as this target opened it. A
// caller that got two answers to its opening packet acknowledges the sequence numbers of only one of them.
func (e *entry) matches(acknowledgement uint32) bool {
	if !e.hasSequence {
		return true
	}
	distance := int32(acknowledgement - e.reference())
	return distance > -ackWindow && distance < ackWindow
}

// reference is the number close to which the caller's acknowledgements are expected.
func (e *entry) reference() uint32 {
	if e.acknowledged {
		return e.callerAck
	}
	return e.initialSequence
}

// hasNewData reports whether a packet has data that has not been passed to the target before.
func (e *entry) hasNewData(s segment.Segment) bool {
	end := s.Sequence + uint32(s.Length)
	return s.Length > 0 && (!e.hasData || int32(end-e.dataEnd) > 0)
}

// recordNewData reports whether a packet has data that has not been passed to the target before, and records its end.
func (e *entry) recordNewData(s segment.Segment) bool {
	if !e.hasNewData(s) {
		return false
	}
	e.requested, e.hasData, e.dataEnd = true, true, s.Sequence+uint32(s.Length)
	return true
}

// wasOpenAtTarget reports whether a flow of which the target has returned a packet was open there: the caller has got
// data from this target, or its request was resent to a new incarnation and acknowledges this target's initial
// sequence number.
func (e *entry) wasOpenAtTarget() bool {
	return e.phase == open && (e.answered || e.requestResent && e.hasSequence && e.callerAck == e.initialSequence+1)
}
