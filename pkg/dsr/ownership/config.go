package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Times and limits of the decisions.
const (
	// OfferTimeout is how long a target may take to answer an opening packet. Targets answer from memory within a
	// millisecond; the rest covers the scheduling of a small VM.
	OfferTimeout = 12 * time.Millisecond
	// ProbeTimeout is how long a target may take to return a packet of a flow that it does not hold. A packet that is not
	// returned by then belongs to it.
	ProbeTimeout = 20 * time.Millisecond
	// SilentRetryInterval is the time between two opening packets that are offered to a target that did not answer the last one.
	SilentRetryInterval = 150 * time.Millisecond
	// HalfOpenTimeout is how long a flow whose caller has not sent its request counts as work at least; where callers are farther
	// away, the longest usual round trip. One that takes longer has chosen another target or is gone; slots that wait for it would keep a
	// burst of late requests going.
	HalfOpenTimeout = 30 * time.Millisecond
	// OfferedLinger is how long an opening packet that the target has not answered is known, for a late answer.
	OfferedLinger = 500 * time.Millisecond
	// BusyTimeout is how long a request counts as work without an answer. A full queue of a target takes well under a
	// second; one that takes longer has lost its target or its caller.
	BusyTimeout = 2 * time.Second
	// HangFactor is the multiple of the target's usual work after which a request without an answer counts as failed, and
	// leastHang the least time: a busy target takes twice its work, a slow start three times.
	HangFactor  = 10
	minHangTime = 500 * time.Millisecond
	// EndedLinger is how long an ended flow is known, for packets that are sent again: the longest interval between two
	// copies is 1.6 s.
	EndedLinger = 3 * time.Second
	// MaxFlowAge is how long a flow may last. An agent that runs for longer has seen every open flow of its target.
	MaxFlowAge = 60 * time.Second
	// MaxExtraFactor bounds the requests that a target is handed beyond its slots, as a multiple of the slots: a caller sends its request
	// a round trip after the target has answered the opening packet, during which the slot would idle.
	MaxExtraFactor = 8
	// AssumedSlots is taken for the slots of a target that answered a health check, until its first announcement names them within
	// a heartbeat's interval: more than one, so that a large target does not stand idle, and few, since a small one is slow then.
	AssumedSlots = 2
	// DefaultWorkTime is taken for the work of one request until the first answer shows the target's own pace. PaceAge is how long that
	// is told without a further sample: a target that was slow and got no more requests must be tried again.
	DefaultWorkTime = 30 * time.Millisecond
	WorkTimeMaxAge  = 2 * time.Second
	// maxRoundTrip bounds a sample of the time between a target's answer to an opening packet and the caller's request; a caller
	// that takes longer waits for something else than the network.
	maxRoundTrip = 300 * time.Millisecond
	// DefaultTimeout is how long a caller waits when its route names no time.
	DefaultTimeout = 1200 * time.Millisecond
	// MissedHeartbeats is the number of heartbeat intervals after which a silent target is taken for gone.
	MissedHeartbeats = 3
	// sweepInterval is the time between two walks over all flows.
	sweepInterval = 500 * time.Millisecond
	// maxNotHeld bounds the memory of flows that the target is known not to hold.
	maxNotHeld = 4096
	// maxServed bounds the memory of addresses for which the target has answered.
	maxServed = 4096
	// maxRetired is the number of earlier processes of the target whose late announcements are told apart.
	maxRetired = 16
)

// Config describes the agent.
type Config struct {
	// Name, Region and DataCentre are the agent's; Service is the service of its target.
	Name       string
	Region     string
	DataCentre string
	Service    string
	// Target is the target's address; reports of one at another address are turned down. It may be invalid.
	Target netip.AddrPort
	// Incarnation tells the lives of the agent apart.
	Incarnation uint64
	// HeartbeatInterval is the time between two announcements of the target.
	HeartbeatInterval time.Duration
	// First is set when no flow can be older than the agent, since the whole system starts for the first time.
	First bool
	// Without says which mechanisms are switched off, for measurements.
	Without policy.Without
}
