package dsrd

import (
	"net/netip"
	"time"
)

// addDiscovered adds balancers that others have named, and announces the agent to the new ones at once.
func (a *Agent) addDiscovered(addresses []netip.AddrPort) { a.contactNew(addresses, a.announce) }

// announce sends the balancers that are due an announcement of the agent and its target.
func (a *Agent) announce(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.logBalancers(now)
	a.logStateChange(now)
	a.announceDue(now)
}

// logStateChange logs a change of the target's state that no announcement caused, such as the end of its heartbeats.
// a.mu is held.
func (a *Agent) logStateChange(now time.Time) {
	state := a.table.State(now)
	if state == a.state {
		return
	}
	a.log.Warn().Str("op", "target-state").Stringer("before", a.state).Stringer("state", state).Msg("the target's state changed")
	a.state = state
}

// announceNow announces to every balancer at once. a.mu is held.
func (a *Agent) announceNow(now time.Time) {
	a.balancers.MakeAllDue()
	a.announceDue(now)
}

func (a *Agent) announceDue(now time.Time) {
	for _, b := range a.balancers.Due(now) {
		a.announceTo(now, b)
	}
}

// announceTo sends an announcement to a balancer, which answers every answeredAnnouncements of them. a.mu is held.
func (a *Agent) announceTo(now time.Time, b netip.AddrPort) {
	interval := a.balancers.IntervalTo(b)
	a.send(b, a.table.Announcement(now, a.balancers.Alive(now, b), interval))
	a.balancers.SetSendInterval(b, answeredAnnouncements*interval)
}
