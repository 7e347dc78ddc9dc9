package dsrd

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// maxRoster bounds the addresses of one kind in a message, so that it fits a datagram of an Ethernet without fragments
// twice over; the rest is found by other balancers.
const maxRoster = 160

// found takes balancers that are known by hearsay, and speaks to the new ones at once.
func (b *Balancer) found(addresses []netip.AddrPort) {
	now := time.Now()
	b.mu.Lock()
	added := b.know(now, addresses)
	b.mu.Unlock()
	if added {
		b.gossipAtOnce()
	}
}

// living returns the living balancers.
func (b *Balancer) living() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancers.Living(time.Now())
}

// gossip tells the other balancers of this one.
func (b *Balancer) gossip(now time.Time) {
	version, age, checked := b.keeper.state(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Awake(now)
	b.logLost("agent-lost", b.agents.Lost(now))
	b.logLost("balancer-lost", b.balancers.Lost(now))
	m := b.gossipMessage(version, age, checked)
	balancers := encodeAddresses(firstOf(b.balancers.Living(now), maxRoster))
	for _, a := range b.balancers.Due(now) {
		m.Roster.Balancers = nil
		// A peer that was heard of lately knows the others; naming them would make the bytes grow with the square of their
		// number.
		if !b.balancers.Alive(now, a) {
			m.Roster.Balancers = balancers
		}
		b.send(a, m)
	}
}

// gossipAtOnce tells every balancer now.
func (b *Balancer) gossipAtOnce() {
	now := time.Now()
	b.mu.Lock()
	b.balancers.Now()
	b.mu.Unlock()
	b.gossip(now)
}

func (b *Balancer) gossipMessage(version uint64, age time.Duration, checked bool) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_GOSSIP,
		Configuration: version,
		Roster: &dsrpb.Roster{
			Name:       b.cfg.Name,
			DataCentre: b.cfg.DataCentre,
			Checked:    checked,
			CheckedMs:  uint32(min(age, time.Hour) / time.Millisecond),
			Ask:        b.asking,

			ReadsPerSecond: readsPerSecond(b.cfg.CPUShare, b.cfg.LinkMbps),
		},
	}
}

// fromBalancer takes another balancer's word. b.mu is held.
func (b *Balancer) fromBalancer(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	r := m.Roster
	if r == nil || from == b.self {
		return
	}
	if b.balancers.Heard(now, from) {
		b.log.Warn().Str("op", "balancer-regained").Stringer("peer", from).Uint64("configuration", m.Configuration).Msg("a balancer was heard of")
	}
	if r.ReadsPerSecond > 0 {
		b.readers[from] = r.ReadsPerSecond
	}
	b.know(now, decodeAddresses(r.Balancers))
	b.compare(now, from, m)
	if agents := decodeAddresses(r.Agents); len(agents) > 0 {
		b.asking = false
		b.greet(now, agents)
	}
	if r.Ask {
		b.tellAgents(now, from)
	}
}

// compare takes over what another balancer says of the configuration. b.mu is held.
func (b *Balancer) compare(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	b.keeper.want(m.Configuration, from)
	if m.Roster.Checked {
		b.keeper.vouched(m.Configuration, now.Add(-time.Duration(m.Roster.CheckedMs)*time.Millisecond))
	}
}

// tellAgents names the living agents to a balancer that has just started. b.mu is held.
func (b *Balancer) tellAgents(now time.Time, to netip.AddrPort) {
	agents := firstOf(b.agents.Living(now), maxRoster)
	if len(agents) == 0 {
		return
	}
	b.send(to, &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_GOSSIP,
		Configuration: b.core.Routes().Version(),
		Roster: &dsrpb.Roster{
			Name:       b.cfg.Name,
			DataCentre: b.cfg.DataCentre,
			Agents:     encodeAddresses(agents),
			Balancers:  encodeAddresses(firstOf(b.balancers.Living(now), maxRoster)),
		},
	})
}

// greet makes this balancer known to agents by hearsay; they announce themselves at once. b.mu is held.
func (b *Balancer) greet(now time.Time, agents []netip.AddrPort) {
	for _, a := range agents {
		if !b.agents.Alive(now, a) {
			m := b.welcomeMessage(now, "")
			m.Roster.Ask = true
			b.send(a, m)
		}
	}
}

// welcome answers an agent's announcement. b.mu is held.
func (b *Balancer) welcome(now time.Time, from netip.AddrPort, service string, a *dsrpb.Announcement) {
	if a == nil || a.Joined && a.State != dsrpb.State_STATE_ABSENT && now.Sub(b.welcomed[from]) < welcomeInterval {
		return
	}
	b.welcomed[from] = now
	m := b.welcomeMessage(now, service)
	if a.Joined {
		// An agent that has heard of this balancer lately knows the others.
		m.Roster.Balancers = nil
	}
	b.send(from, m)
}

// tellHealthPaths tells agents without a target how to ask it whether it is ready, which they learn from the configuration.
// b.mu is held.
func (b *Balancer) tellHealthPaths(now time.Time) {
	for _, a := range b.core.WithoutTarget(now) {
		b.send(a.Address, b.welcomeMessage(now, a.Service))
	}
}

func (b *Balancer) welcomeMessage(now time.Time, service string) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_WELCOME,
		Configuration: b.core.Routes().Version(),
		Roster: &dsrpb.Roster{
			Name:       b.cfg.Name,
			DataCentre: b.cfg.DataCentre,
			Balancers:  encodeAddresses(firstOf(b.balancers.Living(now), maxRoster)),
			HealthPath: b.core.Routes().HealthPath(service),
		},
	}
}

func firstOf(list []netip.AddrPort, n int) []netip.AddrPort {
	return list[:min(n, len(list))]
}
