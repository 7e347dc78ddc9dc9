package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Timeouts and limits.
const (
	// OfferTimeout is how long a target may take to answer an opening packet. Targets answer from memory within a
	// millisecond; the rest covers the scheduling delay of a small VM.
	OfferTimeout = 12 * time.Millisecond
	// ProbeTimeout is how long a target may take to return a packet of a flow that it does not hold. A packet that a
	// running target has not returned by then belongs to it.
	ProbeTimeout = 20 * time.Millisecond
	// SilentRetryInterval is the time between two opening packets that are offered to a target that did not answer
	// the last one.
	SilentRetryInterval = 150 * time.Millisecond
	// HalfOpenTimeout is the least time for which a flow counts as work before its caller has sent a request; the
	// longest typical round trip applies where that is more. A caller that takes longer has chosen another target or
	// is gone, and reserving slots for it would prolong a burst of late requests.
	HalfOpenTimeout = 30 * time.Millisecond
	// OfferedLinger is how long a flow is kept whose opening packet or probe the target has not answered, for a late
	// answer.
	OfferedLinger = 500 * time.Millisecond
	// BusyTimeout is how long a request without an answer counts as work. A full queue of a target takes well under a
	// second; a request that takes longer has lost its target or its caller.
	BusyTimeout = 2 * time.Second
	// HangFactor is the multiple of the target's work time after which a request without an answer counts as failed,
	// and minHangTime the lower bound: a busy target takes twice its work time, a slow start three times.
	HangFactor  = 10
	minHangTime = 500 * time.Millisecond
	// EndedLinger is how long an ended flow is kept, for retransmitted packets: the longest retransmission interval
	// is 1.6 s.
	EndedLinger = 3 * time.Second
	// MaxFlowAge is how long a flow may last. An agent that runs for longer has seen every open flow of its target.
	MaxFlowAge = 60 * time.Second
	// MaxExtraFactor bounds the requests that a target is given beyond its slots, as a multiple of the slots: a
	// caller sends its request a round trip after the target has answered the opening packet, during which the slot
	// would be idle.
	MaxExtraFactor = 8
	// AssumedSlots is the slot count assumed for a target that answered a health check, until its first announcement
	// names it within a heartbeat interval: more than one, so that a large target is not idle, and few, since a small
	// one would be slow.
	AssumedSlots = 2
	// DefaultWorkTime is assumed for the work of one request until the first answer. WorkTimeMaxAge is how long a
	// measured work time is reported without a further sample: a target that was slow and got no more requests must
	// be tried again.
	DefaultWorkTime = 30 * time.Millisecond
	WorkTimeMaxAge  = 2 * time.Second
	// maxRoundTrip bounds a sample of the time between a target's answer to an opening packet and the caller's
	// request; a longer one is not due to the network.
	maxRoundTrip = 300 * time.Millisecond
	// DefaultTimeout is how long a caller waits when its route names no timeout.
	DefaultTimeout = 1200 * time.Millisecond
	// MissedHeartbeats is the number of heartbeat intervals after which a silent target counts as absent.
	MissedHeartbeats = 3
	// sweepInterval is the time between two passes over all flows.
	sweepInterval = 500 * time.Millisecond
	// maxNotHeld bounds the number of remembered flows that the target is known not to hold.
	maxNotHeld = 4096
	// maxServed bounds the number of remembered addresses for which the target has answered.
	maxServed = 4096
	// maxRetired is the number of earlier incarnations of the target whose late announcements are recognised.
	maxRetired = 16
)

// Config describes the agent.
type Config struct {
	// Name, Region and DataCentre are the agent's; Service is the service of its target.
	Name       string
	Region     string
	DataCentre string
	Service    string
	// Target is the target's address; reports of a target at another address are rejected. It may be invalid.
	Target netip.AddrPort
	// Incarnation identifies this run of the agent.
	Incarnation uint64
	// HeartbeatInterval is the time between two announcements of the target.
	HeartbeatInterval time.Duration
	// First is set when no flow can be older than the agent, since the whole system starts for the first time.
	First bool
	// Without names the mechanisms that are switched off, for measurements.
	Without policy.Without
}
