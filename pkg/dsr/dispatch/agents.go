package dispatch

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Agents returns the number of living agents, and of those whose targets take new flows.
func (b *Balancer) Agents(now time.Time) (living, ready int) {
	for _, a := range b.order {
		if a.isAlive(now) {
			living++
			if a.state == dsrpb.State_STATE_READY {
				ready++
			}
		}
	}
	return living, ready
}

// LastSeen returns the time of the last message of any agent, or the start time when there was none.
func (b *Balancer) LastSeen() time.Time { return b.lastSeen }

type AgentService struct {
	Address netip.AddrPort
	Service string
}

// AgentsWithoutTarget returns the living agents whose targets have not announced themselves.
func (b *Balancer) AgentsWithoutTarget(now time.Time) []AgentService {
	var out []AgentService
	for _, a := range b.order {
		if a.isAlive(now) && a.state == dsrpb.State_STATE_ABSENT {
			out = append(out, AgentService{Address: a.addr, Service: a.service})
		}
	}
	return out
}

// AgentsOf returns the living agents of a data centre.
func (b *Balancer) AgentsOf(now time.Time, dataCentre string) []AgentService {
	var out []AgentService
	for _, a := range b.order {
		if a.isAlive(now) && a.dataCentre == dataCentre {
			out = append(out, AgentService{Address: a.addr, Service: a.service})
		}
	}
	return out
}

func (b *Balancer) recordReport(now time.Time, a *agent, m *dsrpb.Message) {
	b.lastSeen = now
	a.recordReport(now, m)
	b.recordWorkTime(a)
	b.recordPace(now, a)
	b.countLoad(now, a)
	b.updateOverload(now, a.service)
}

// addToService lists an agent under a service, and no longer under its previous one.
func (b *Balancer) addToService(a *agent, service string) {
	if a.service == service && slices.Contains(b.services[service], a) {
		return
	}
	b.removeFromService(a)
	a.service = service
	b.services[service] = append(b.services[service], a)
	b.expireComparison(service)
}

func (b *Balancer) removeFromService(a *agent) {
	b.uncountLoad(a)
	rest := slices.DeleteFunc(b.services[a.service], func(other *agent) bool { return other == a })
	b.services[a.service] = rest
	b.expireComparison(a.service)
	if len(rest) == 0 {
		delete(b.services, a.service)
	}
}

// announced applies an agent's announcement.
func (b *Balancer) announced(now time.Time, from netip.AddrPort, a *agent, m *dsrpb.Message) {
	n := m.Announcement
	if n == nil {
		return
	}
	if a == nil {
		a = &agent{addr: from, bits: flow.AddrBits(from)}
		b.agents[from] = a
		b.order = append(b.order, a)
	}
	// Incarnations have no order, since the wall clock may jump: one that differs is assumed to be the current one. A
	// late datagram of an earlier incarnation is corrected by the next announcement.
	if n.Incarnation != a.incarnation {
		a.started = now.Add(-time.Duration(n.RunningMs) * time.Millisecond)
	}
	before, failedBefore := a.state, a.failing
	if n.DataCentre != a.dataCentre {
		b.expireComparison(a.service)
	}
	// The message refers to the receive buffer.
	a.dataCentre, a.region = strings.Clone(n.DataCentre), strings.Clone(n.Region)
	a.near = a.dataCentre == b.cfg.DataCentre
	b.addToService(a, strings.Clone(m.Service))
	a.state, a.slots, a.incarnation, a.failing = n.State, int(n.Slots), n.Incarnation, n.Failing
	a.answers = answersOf(n.Answers)
	a.recordLongFlows(now, n, m.Busy)
	a.recordDemand(now, n)
	b.recordHolder(now, a, n)
	a.interval = min(time.Duration(n.IntervalMs)*time.Millisecond, MaxAnnounceInterval)
	b.recordReport(now, a, m)
	// A target that was away may have been replaced by another process.
	if a.state == dsrpb.State_STATE_READY && before != a.state {
		a.pace = estimate.Pace{}
	}
	if a.state != before || a.failing != failedBefore {
		b.expireComparison(a.service)
	}
	if a.state == dsrpb.State_STATE_READY && before != a.state {
		b.retryParked(now, false)
	}
}
