package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// timer is the time at which a flow is checked.
type timer struct {
	key flow.Key
	at  time.Time
}

// Table holds the flows of one target and decides about their packets. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	codec   segment.Codec
	out     Output
	started time.Time
	target  target
	leaving bool
	flows   map[flow.Key]*entry
	// addresses are the numbers of flows in the table by the hash of their address.
	addresses map[uint32]int
	// released is the number of flows with released set.
	released int
	// connectionLimit is the declared limit on flows.
	connectionLimit connectionLimit
	// busy is the number of flows with busy set, working the number of those with working set.
	busy    int
	working int
	// further is the number of flows with further set, lastFurther the time of the last further request.
	further     int
	lastFurther time.Time
	// queue holds the flows in phase queued and the held requests on open flows. meanWork is the target's time for one request, last updated at
	// workUpdated. roundTrip is the time from the target's answer to an opening packet to the caller's request.
	queue       admission.Queue
	meanWork    estimate.Mean
	workUpdated time.Time
	roundTrip   estimate.Answer
	// promises are what routes promise to callers, by address. heldBytes is the size of all held packets.
	// leastAim is the least promised time, 0 when there is none, lowestPriority the lowest priority.
	promises       map[netip.AddrPort]promise
	leastAim       time.Duration
	lowestPriority int
	heldBytes      int
	// due are the pending timers, sorted by time.
	due []timer
	// outcomes detects a failing target by the results of its requests.
	outcomes outlier.Detector
	// served are the addresses for which the target has answered a request.
	served map[netip.AddrPort]bool
	// minAnswers are the target's minimum answers by the hash of the address, median those of the median target of the
	// service.
	minAnswers map[uint32]*outlier.AnswerWindow
	median     map[uint32]outlier.Answer
	// notHeld maps flows of which the target has returned a packet to the time when it did.
	notHeld map[flow.Key]time.Time
	// silentSince is when the target first left an opening packet unanswered, zero while it answers. lastSilentOffer
	// is the time of the last offer since then.
	silentSince     time.Time
	lastSilentOffer time.Time
	// targetActive is the time of the target's last packet or heartbeat.
	targetActive time.Time
	// configuration is the highest version that a balancer has named.
	configuration uint64
	// evacuated is set while the agent's data centre takes no new flows.
	evacuated bool
	// rate is the rate of new flows that the target gets.
	rate estimate.Rate
	// demand is what is asked of the target.
	demand demand
	// cold is the state of the target's warm-up. recheckAt is when the queue is checked again because the target is
	// cold; zero when something else has to happen first.
	cold            coldState
	recheckAt       time.Time
	swept           time.Time
	msg             dsrpb.Message
	announcementMsg dsrpb.Announcement
	coldMsg         dsrpb.Cold
}

func NewTable(cfg Config, codec segment.Codec, out Output, now time.Time) *Table {
	return &Table{
		cfg:        cfg,
		codec:      codec,
		out:        out,
		started:    now,
		flows:      make(map[flow.Key]*entry),
		addresses:  make(map[uint32]int),
		notHeld:    make(map[flow.Key]time.Time),
		served:     make(map[netip.AddrPort]bool),
		minAnswers: make(map[uint32]*outlier.AnswerWindow),
		median:     make(map[uint32]outlier.Answer),
		promises:   make(map[netip.AddrPort]promise),
		queue:      admission.Queue{Without: cfg.Without},
		swept:      now,
	}
}

// Leave stops the agent from taking new flows and returns the queued ones. Held requests on open flows go to the target.
func (t *Table) Leave(now time.Time) {
	t.leaving = true
	t.returnQueuedUnlessReady(now)
	t.handOverAll(now)
}

// SetEvacuated sets whether the agent's data centre is evacuated and takes no new flows. Queued flows are then
// returned to their balancers at once; open flows stay. It reports whether the setting changed.
func (t *Table) SetEvacuated(now time.Time, on bool) bool {
	if t.evacuated == on {
		return false
	}
	t.evacuated = on
	if on {
		t.returnAllQueued(now, dsrpb.Verdict_VERDICT_EVACUATED)
	} else {
		t.target.assumeCold(now)
	}
	return true
}

func (t *Table) Evacuated() bool { return t.evacuated }

// State is the target's state as announced to the balancers.
func (t *Table) State(now time.Time) dsrpb.State {
	if t.leaving || t.evacuated && t.target.known {
		return dsrpb.State_STATE_LEAVING
	}
	return t.target.state(now, t.silenceTimeout())
}

// TargetKnown reports whether a running incarnation of the target is known, and whether it is ready or leaves.
func (t *Table) TargetKnown() bool { return t.target.mayBeReady() }

// Busy is the number of requests that the target works on or has queued, as far as its packets show.
func (t *Table) Busy() int { return t.busy + t.queue.Len() }

// Flows is the number of known flows, including ended ones.
func (t *Table) Flows() int { return len(t.flows) }

// Configuration is the highest version of the configuration that a balancer has named.
func (t *Table) Configuration() uint64 { return t.configuration }

// Unfinished is the number of flows that have not ended and had a packet within the given time.
func (t *Table) Unfinished(now time.Time, within time.Duration) int {
	n := 0
	for _, e := range t.flows {
		if e.phase != ended && now.Sub(e.touched) <= within {
			n++
		}
	}
	return n
}
