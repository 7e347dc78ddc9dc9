package dsrd

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
)

const (
	// maxRoster bounds the addresses of one kind in a message, so that it fits a datagram of an Ethernet without fragments
	// twice over.
	maxRoster = 160
	// fanOut is the number of balancers that are told of a check or a change at once. Of 490 balancers all but one in 400 have heard
	// of a change when each tells six; the rest learns it with the next regular message, of which each gets 20 a second.
	fanOut = 6
	// introducedPeers is the number of balancers that a message to a process names which may know nobody. Such a process reads all from the
	// object API; while that is down, three seeds that name 16 each lead to all others in a few messages. Naming all would make the bytes of a
	// start grow with the number of balancers.
	introducedPeers = 16
	// soughtPeers is the number of balancers that a message names to a silent one, which is spoken to several times a second.
	soughtPeers = 4
	// namedPeers is the number of balancers that a regular message names, others each time. A process that has missed one when all started
	// together hears of it within a second among 59, within a minute among 490.
	namedPeers = 2
	// askedPeers is the number of balancers that a starting one asks for the agents in one round; each names all.
	askedPeers = 3
	// hopTime is what a message between balancers may take. It is added to the age of a check with each one that hands it on;
	// without it a check would seem to stay fresh for ever where many pass it on.
	hopTime = 10 * time.Millisecond
)

// found takes balancers that are known by hearsay, and speaks to the new ones at once.
func (b *Balancer) found(addresses []netip.AddrPort) {
	now := time.Now()
	b.mu.Lock()
	added := b.know(now, addresses)
	b.mu.Unlock()
	if added {
		b.gossip(now)
	}
}

// living returns the living balancers.
func (b *Balancer) living() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancers.Living(time.Now())
}

// gossip tells the other balancers of this one, those that are due.
func (b *Balancer) gossip(now time.Time) {
	version, age, checked := b.keeper.state(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.MarkRunning(now)
	agentLost.log(b.log, b.agents.NewlySilent(now))
	agentRegained.log(b.log, b.regainedAgents)
	b.regainedAgents = b.regainedAgents[:0]
	b.logBalancers(now)
	b.forget(now)
	b.tell(now, b.balancers.Due(now), b.gossipMessage(version, age, checked))
}

// tell sends balancers a message about this one. b.mu is held.
func (b *Balancer) tell(now time.Time, to []netip.AddrPort, m *dsrpb.Message) {
	if len(to) == 0 {
		return
	}
	several := encodeAddresses(b.balancers.Sample(now, soughtPeers))
	some := encodeAddresses(b.balancers.Sample(now, namedPeers))
	asked := 0
	for _, a := range to {
		// A peer that was heard of lately knows most others; naming them all would make the bytes grow with the square of their
		// number.
		m.Roster.Balancers = some
		if !b.balancers.Alive(now, a) {
			m.Roster.Balancers = several
		}
		m.Roster.Ask = b.asking && asked < askedPeers
		m.Roster.IntervalMs = uint32(b.balancers.IntervalTo(a) / time.Millisecond)
		asked++
		b.send(a, m)
	}
}

// forget drops what is kept of processes that were silent for long. b.mu is held.
func (b *Balancer) forget(now time.Time) {
	b.agents.Expire(now)
	maps.DeleteFunc(b.welcomed, func(a netip.AddrPort, _ time.Time) bool { return !b.agents.Contains(a) })
	maps.DeleteFunc(b.readers, func(a netip.AddrPort, _ uint32) bool { return !b.balancers.Contains(a) })
}

// gossipAtOnce tells balancers now that the configuration was checked or has changed: all of them in a small deployment, in a larger
// one some, which tell others when they have it, so that neither messages nor bytes of the one that knows it first grow with their
// number.
func (b *Balancer) gossipAtOnce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tellNews(time.Now())
}

// tellNews is gossipAtOnce with b.mu held.
func (b *Balancer) tellNews(now time.Time) {
	version, age, checked := b.keeper.state(now)
	to := b.balancers.All()
	if len(to) > fanOut {
		to = b.balancers.Sample(now, fanOut)
	}
	b.tell(now, to, b.gossipMessage(version, age, checked))
}

func (b *Balancer) gossipMessage(version uint64, age time.Duration, checked bool) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_GOSSIP,
		Configuration: version,
		Evacuations:   encodeEvacuations(b.core.Evacuations()),
		Roster: &dsrpb.Roster{
			Checked:        checked,
			CheckedMs:      uint32(min(age, time.Hour) / time.Millisecond),
			ReadsPerSecond: b.reads(),
			Watches:        b.keeper.watches(),
			Era:            b.eras.Newest(),
		},
	}
}

// fromBalancer takes another balancer's word. b.mu is held.
func (b *Balancer) fromBalancer(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	r := m.Roster
	if r == nil || from == b.self {
		return
	}
	if b.balancers.MarkSeen(now, from) {
		b.noteRegained(from)
	}
	b.balancers.SetSendInterval(from, milliseconds(r.IntervalMs))
	if r.ReadsPerSecond > 0 {
		b.readers[from] = r.ReadsPerSecond
	}
	b.know(now, decodeAddresses(r.Balancers))
	b.compare(now, from, m)
	b.namedEras.Observe(r.Era)
	b.hearEvacuations(now, m.Evacuations)
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
		b.keeper.vouched(m.Configuration, now.Add(-milliseconds(m.Roster.CheckedMs)-hopTime))
	}
	if m.Roster.Watches && readsBefore(m.Roster.ReadsPerSecond, from, b.reads(), b.self) {
		b.keeper.setWatching(false)
	}
}

// tellAgents names the living agents to a balancer that has just started. b.mu is held.
func (b *Balancer) tellAgents(now time.Time, to netip.AddrPort) {
	balancers := encodeAddresses(b.balancers.Sample(now, introducedPeers))
	for agents := range slices.Chunk(b.agents.Living(now), maxRoster) {
		b.send(to, &dsrpb.Message{
			Kind:          dsrpb.Kind_KIND_GOSSIP,
			Configuration: b.core.Routes().Version(),
			Evacuations:   encodeEvacuations(b.core.Evacuations()),
			Roster: &dsrpb.Roster{
				Agents:     encodeAddresses(agents),
				Balancers:  balancers,
				IntervalMs: uint32(b.balancers.IntervalTo(to) / time.Millisecond),
			},
		})
	}
}

// greet makes this balancer known to agents by hearsay; they announce themselves at once. b.mu is held.
func (b *Balancer) greet(now time.Time, agents []netip.AddrPort) {
	for _, a := range agents {
		if !b.agents.Alive(now, a) {
			m := b.welcomeMessage(now, "")
			m.Roster.Ask = true
			// Agents that others know have met them.
			m.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, namedPeers))
			b.send(a, m)
		}
	}
}

// welcome answers an agent's announcement. b.mu is held.
func (b *Balancer) welcome(now time.Time, from netip.AddrPort, service string, a *dsrpb.Announcement) {
	if a == nil || a.Joined && a.State != dsrpb.State_STATE_ABSENT && now.Sub(b.welcomed[from]) < welcomePause(a) {
		return
	}
	b.welcomed[from] = now
	m := b.welcomeMessage(now, service)
	if a.DataCentre != b.cfg.DataCentre {
		m.Roster.IntervalMs = uint32(roster.RemoteIntervalFor(b.agents.Len()) / time.Millisecond)
	}
	if a.Joined {
		// An agent that has heard of this balancer lately knows most others.
		m.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, namedPeers))
	}
	if a.State != dsrpb.State_STATE_ABSENT {
		m.Roster.HealthPath = ""
	}
	m.Roster.Usual = b.core.MedianResponses(now, from)
	b.send(from, m)
}

// welcomePause is the least time between two answers to an agent that knows this balancer: announcements come a quarter earlier than
// the agent says, so that this one is between the first and the second of them.
func welcomePause(a *dsrpb.Announcement) time.Duration {
	return max(welcomeInterval, milliseconds(a.IntervalMs)*(answeredAnnouncements*4-3)/4)
}

// tellHealthPaths tells agents without a target how to ask it whether it is ready, which they learn from the configuration.
// b.mu is held.
func (b *Balancer) tellHealthPaths(now time.Time) {
	for _, a := range b.core.AgentsWithoutTarget(now) {
		b.send(a.Address, b.welcomeMessage(now, a.Service))
	}
}

func (b *Balancer) welcomeMessage(now time.Time, service string) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_WELCOME,
		Configuration: b.core.Routes().Version(),
		Evacuations:   encodeEvacuations(b.core.Evacuations()),
		Roster: &dsrpb.Roster{
			Balancers:  encodeAddresses(b.balancers.Sample(now, introducedPeers)),
			HealthPath: b.core.Routes().HealthPath(service),
			IntervalMs: uint32(roster.IntervalFor(b.agents.Len()) / time.Millisecond),
		},
	}
}
