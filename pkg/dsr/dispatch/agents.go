package dispatch

import (
	"net/netip"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// Agents is the number of living agents, and of those whose targets take new flows.
func (b *Balancer) Agents(now time.Time) (living, ready int) {
	for _, a := range b.order {
		if a.alive(now) {
			living++
			if a.state == dsrpb.State_STATE_READY {
				ready++
			}
		}
	}
	return living, ready
}

// LastHeard is when any agent was last heard of; the start when none was.
func (b *Balancer) LastHeard() time.Time {
	last := b.started
	for _, a := range b.order {
		if a.heard.After(last) {
			last = a.heard
		}
	}
	return last
}

// AgentService names an agent and its service.
type AgentService struct {
	Address netip.AddrPort
	Service string
}

// WithoutTarget returns the living agents whose targets have not announced themselves.
func (b *Balancer) WithoutTarget(now time.Time) []AgentService {
	var out []AgentService
	for _, a := range b.order {
		if a.alive(now) && a.state == dsrpb.State_STATE_ABSENT {
			out = append(out, AgentService{Address: a.addr, Service: a.service})
		}
	}
	return out
}

// announced takes an agent's word about itself.
func (b *Balancer) announced(now time.Time, from netip.AddrPort, a *agent, m *dsrpb.Message) {
	n := m.Announcement
	if n == nil {
		return
	}
	if a == nil {
		a = &agent{addr: from}
		b.agents[from] = a
		b.order = append(b.order, a)
	}
	// Incarnations have no order, since the time of day may jump: one that differs is taken for the present one. A late
	// datagram of an earlier life is corrected by the next announcement.
	if n.Incarnation != a.incarnation {
		a.started = now
	}
	before := a.state
	// The message refers to the receive buffer.
	a.dataCentre, a.service = strings.Clone(n.DataCentre), strings.Clone(m.Service)
	a.state, a.slots, a.incarnation, a.failing = n.State, int(n.Slots), n.Incarnation, n.Failing
	a.work = time.Duration(n.WorkUs) * time.Microsecond
	b.learnWork(a)
	a.report(now, m.Busy)
	if a.state == dsrpb.State_STATE_READY && before != a.state {
		b.retryParked(now, false)
	}
}
