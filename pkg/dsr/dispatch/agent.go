package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// agent is what the balancer believes of one agent and its target.
type agent struct {
	addr        netip.AddrPort
	dataCentre  string
	service     string
	state       dsrpb.State
	slots       int
	incarnation uint64
	// started is when the balancer first heard of the agent's incarnation.
	started  time.Time
	warmedUp time.Time
	heard    time.Time
	// busy is what the agent last reported, reported when; asked is the number of flows offered since then.
	busy     int
	reported time.Time
	asked    int
	// failing is set while the agent's target fails more than a healthy one, as the agent says.
	failing bool
	// suspect is set when the agent left a packet unanswered, until it is heard of again.
	suspect bool
}

// alive reports whether the agent was heard of lately.
func (a *agent) alive(now time.Time) bool {
	return now.Sub(a.heard) <= AgentSilence
}

// takes reports whether the agent is worth asking about a new flow.
func (a *agent) takes(now time.Time, service string) bool {
	return a.service == service && a.state == dsrpb.State_STATE_READY && a.alive(now)
}

// report takes over a load that the agent has named.
func (a *agent) report(now time.Time, busy uint32) {
	a.busy, a.reported, a.asked = int(busy), now, 0
	a.heard, a.suspect = now, false
}

// load estimates the target's requests for each of its slots, one new one included.
func (a *agent) load(now time.Time) float64 {
	slots := float64(max(1, a.slots))
	freed := slots * float64(now.Sub(a.reported)) / float64(TypicalWork)
	load := (max(0, float64(a.busy)-freed) + float64(a.asked) + 1) / slots
	if now.Before(a.warmedUp) {
		return load * warmUpCost
	}
	return load
}

// free reports whether the target seems to have a free slot.
func (a *agent) free(now time.Time) bool {
	return a.load(now) <= 1
}

// warmUpCost is how many times longer a target that has just started takes for its work, as its announcement warns of.
const warmUpCost = 1.6
