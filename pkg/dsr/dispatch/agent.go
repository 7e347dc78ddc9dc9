package dispatch

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

// agent is the balancer's view of an agent and its target.
type agent struct {
	addr netip.AddrPort
	// bits are the address bits, as tieBreak uses them.
	bits        uint64
	dataCentre  string
	region      string
	service     string
	state       dsrpb.State
	slots       int
	incarnation uint64
	// started is when the agent's current incarnation started, as reported, or when the balancer received its first
	// announcement.
	started  time.Time
	lastSeen time.Time
	// interval is the time between two announcements, as reported by the agent.
	interval time.Duration
	// busy is the number of requests that the target was working on or had queued at the last report, reported the time
	// of that report, and offered the number of flows offered since then.
	busy     int
	reported time.Time
	asked    int
	// workTime is the target's recent time per request, as reported; 0 when the agent does not know it.
	workTime time.Duration
	// rate is the target's reported rate of new flows, per second.
	rate float64
	// flows is the number of flows that the target held at the last announcement, or at least held when it last declined
	// one because of the connection limit; announced is the time of that.
	flows     int
	announced time.Time
	// coldLimit is the reported limit on new flows while the target warms up.
	coldLimit warmup.Limit
	// answers are the minimum answer times and sizes of the target, by the hash of the address.
	answers map[uint32]outlier.Answer
	// failing is set while the agent reports that its target fails more requests than a healthy one.
	failing bool
	// opened is the number of flows offered since the last announcement, announcedBusy the busy count of that. repeated is
	// set when flows carry several requests.
	opened        int
	announcedBusy int
	repeated      bool
	// near is set when the agent is in the balancer's data centre.
	near bool
	// pace is the target's work time beside that of its service, factor the multiple that is expected; 0 means 1.
	pace   estimate.Pace
	factor float64
	// capacity and demands are as announced at demandAt. countedLoad is what counts of them in the picture of the service while
	// counted is set.
	capacity    float64
	demands     []overload.Demand
	demandAt    time.Time
	countedLoad overload.Load
	counted     bool
	// suspect is set when the agent left an offer unanswered, until its next message.
	suspect bool
	// empty is set when the agent's last announcement said that its target holds no flows.
	empty bool
	// answersQueries is set when the agent answers questions about several flows.
	answersQueries bool
	// collected are the flows of the next question to the agent, lastQuestion is when the last one was sent.
	collected    []*flowState
	lastQuestion time.Time
	// holdings is the last answer about all flows of the target.
	holdings holdings
	// unansweredSince is when the first question since the agent's last message was sent, zero when there was none.
	unansweredSince time.Time
}

// silenceTimeout returns how long the agent may be silent before it is no longer used. A dead one is noticed earlier,
// by the first offer that it does not answer.
func (a *agent) silenceTimeout() time.Duration {
	return max(AgentSilenceTimeout, silentIntervals*a.interval)
}

func (a *agent) isAlive(now time.Time) bool { return now.Sub(a.lastSeen) <= a.silenceTimeout() }

// canAccept reports whether a new flow may be offered to the agent.
func (a *agent) canAccept(now time.Time) bool {
	return a.state == dsrpb.State_STATE_READY && a.isAlive(now)
}

// atConnectionLimit reports whether the target is known to hold as many flows as its service allows; a limit of 0 means
// none. An agent with an old report is asked.
func (a *agent) atConnectionLimit(now time.Time, limit int) bool {
	return limit > 0 && a.flows >= limit && now.Sub(a.announced) <= ConnectionReportMaxAge
}

// recordFull records that the agent declined a flow because of the connection limit.
func (a *agent) recordFull(now time.Time, limit int) {
	a.flows, a.announced = max(a.flows, limit), now
}

// recordReport records the target's state, which every message of an agent carries.
func (a *agent) recordReport(now time.Time, m *dsrpb.Message) {
	a.busy, a.reported, a.asked = int(m.Busy), now, 0
	a.workTime = time.Duration(m.WorkUs) * time.Microsecond
	a.coldLimit = coldLimitOf(now, m.Cold)
	a.rate = float64(m.FlowsPerSecond)
	a.lastSeen, a.suspect, a.unansweredSince = now, false, time.Time{}
}

// load estimates the target's requests per slot, including one new request. Slots that were busy at the last report are
// assumed to become free at the target's reported rate of work.
func (a *agent) load(now time.Time) float64 {
	slots := float64(max(1, a.slots))
	if a.busy == 0 {
		return float64(a.asked+1) / slots
	}
	freed := slots * float64(now.Sub(a.reported)) / float64(cmp.Or(a.workTime, DefaultWorkTime))
	return (max(0, float64(a.busy)-freed) + float64(a.asked) + 1) / slots
}

// completionTime estimates the time until the target has answered one more request. The typical work time of the
// service, by the target's pace, stands in for one that the agent does not know.
func (a *agent) completionTime(now time.Time, typical time.Duration) time.Duration {
	workTime := a.expectedWorkTime(typical)
	completionTime := time.Duration(max(1, a.load(now)) * float64(workTime))
	if !a.coldLimit.InForce(now) {
		return completionTime
	}
	ahead := max(0, a.busy-a.slots) + a.asked
	return max(completionTime, a.coldLimitAt(now).Wait(now, ahead, 0)+workTime)
}

// hasFreeSlot reports whether the target is estimated to have a free slot and, while it is cold, room for a new flow.
func (a *agent) hasFreeSlot(now time.Time) bool {
	if a.coldLimit.InForce(now) && a.coldLimitAt(now).Room <= a.asked {
		return false
	}
	return a.load(now) <= 1
}

// isSilent reports whether the agent has said nothing since it was asked about flows longer ago than the timeout.
func (a *agent) isSilent(now time.Time, timeout time.Duration) bool {
	return !a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) > timeout
}
