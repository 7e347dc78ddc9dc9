package dispatch

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

// agent is what the balancer believes of one agent and its target.
type agent struct {
	addr        netip.AddrPort
	dataCentre  string
	region      string
	service     string
	state       dsrpb.State
	slots       int
	incarnation uint64
	// started is when the balancer first heard of the agent's incarnation.
	started time.Time
	heard   time.Time
	// interval is the time between two announcements, as the agent says.
	interval time.Duration
	// busy is what the agent last reported, reported when; asked is the number of flows offered since then.
	busy     int
	reported time.Time
	asked    int
	// work is how long its target lately took for a request; 0 when the agent does not know.
	work time.Duration
	// rate is the number of new flows that its target lately got in a second.
	rate float64
	// cold is what its target takes while it warms up.
	cold warmup.Limit
	// answers are the least of its target's last answers, by the hash of the address.
	answers map[uint32]outlier.Answer
	// failing is set while the agent's target fails more than a healthy one, as the agent says.
	failing bool
	// suspect is set when the agent left a packet unanswered, until it is heard of again.
	suspect bool
}

// silence is how long the agent may say nothing until it is not used any more. A dead one is found earlier, by the first offer that
// it does not answer.
func (a *agent) silence() time.Duration { return max(AgentSilence, silentAnnouncements*a.interval) }

// alive reports whether the agent was heard of lately.
func (a *agent) alive(now time.Time) bool { return now.Sub(a.heard) <= a.silence() }

// takes reports whether the agent is worth asking about a new flow.
func (a *agent) takes(now time.Time) bool {
	return a.state == dsrpb.State_STATE_READY && a.alive(now)
}

// report takes over what every message of an agent names: the load and the pace of its target.
func (a *agent) report(now time.Time, m *dsrpb.Message) {
	a.busy, a.reported, a.asked = int(m.Busy), now, 0
	a.work = time.Duration(m.WorkUs) * time.Microsecond
	a.cold = coldOf(now, m.Cold)
	a.rate = float64(m.FlowsPerSecond)
	a.heard, a.suspect = now, false
}

// load estimates the target's requests for each of its slots, one new one included. Slots that were busy when the agent last
// reported become free at the target's pace.
func (a *agent) load(now time.Time) float64 {
	slots := float64(max(1, a.slots))
	freed := slots * float64(now.Sub(a.reported)) / float64(cmp.Or(a.work, StartWork))
	return (max(0, float64(a.busy)-freed) + float64(a.asked) + 1) / slots
}

// finish estimates the time until the target has answered one more request.
func (a *agent) finish(now time.Time, usual time.Duration) time.Duration {
	work := cmp.Or(a.work, usual)
	finish := time.Duration(max(1, a.load(now)) * float64(work))
	if !a.cold.InForce(now) {
		return finish
	}
	ahead := max(0, a.busy-a.slots) + a.asked
	return max(finish, a.coldNow(now).Wait(now, ahead, 0)+work)
}

// free reports whether the target seems to have a free slot, and room for a new flow while it is cold.
func (a *agent) free(now time.Time) bool {
	if a.cold.InForce(now) && a.coldNow(now).Room <= a.asked {
		return false
	}
	return a.load(now) <= 1
}
