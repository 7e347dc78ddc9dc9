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
	// bootstrapPeers is the number of balancers that a message to a process names which may know nobody. Such a process reads all from the
	// object API; while that is down, three seeds that name 16 each lead to all others in a few messages. Naming all would make the bytes of a
	// start grow with the number of balancers.
	bootstrapPeers = 16
	// reconnectPeers is the number of balancers that a message names to a silent one, which is spoken to several times a second.
	reconnectPeers = 4
	// gossipedPeers is the number of balancers that a regular message names, others each time. A process that has missed one when all started
	// together hears of it within a second among 59, within a minute among 490.
	gossipedPeers = 2
	// queriedPeers is the number of balancers that a starting one asks for the agents in one round; each names all.
	queriedPeers = 3
	// hopTime is what a message between balancers may take. It is added to the age of a check with each one that hands it on;
	// without it a check would seem to stay fresh for ever where many pass it on.
	hopTime = 10 * time.Millisecond
)

// addDiscovered takes balancers that are known by hearsay, and speaks to the new ones at once.
func (b *Balancer) addDiscovered(addresses []netip.AddrPort) {
	now := time.Now()
	b.mu.Lock()
	added := b.addBalancers(now, addresses)
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
	version, age, checked := b.configSync.state(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Awake(now)
	agentLost.log(b.log, b.agents.Lost(now))
	agentRegained.log(b.log, b.regainedAgents)
	b.regainedAgents = b.regainedAgents[:0]
	b.logBalancers(now)
	b.evict(now)
	b.sendGossip(now, b.balancers.Due(now), b.gossipMessage(version, age, checked))
}

// sendGossip sends balancers a message about this one. b.mu is held.
func (b *Balancer) sendGossip(now time.Time, to []netip.AddrPort, m *dsrpb.Message) {
	if len(to) == 0 {
		return
	}
	several := encodeAddresses(b.balancers.Sample(now, reconnectPeers))
	some := encodeAddresses(b.balancers.Sample(now, gossipedPeers))
	asked := 0
	for _, a := range to {
		// A peer that was heard of lately knows most others; naming them all would make the bytes grow with the square of their
		// number.
		m.Roster.Balancers = some
		if !b.balancers.Alive(now, a) {
			m.Roster.Balancers = several
		}
		m.Roster.Ask = b.requestAgents && asked < queriedPeers
		m.Roster.IntervalMs = uint32(b.balancers.IntervalTo(a) / time.Millisecond)
		asked++
		b.send(a, m)
	}
}

// evict drops what is kept of processes that were silent for long. b.mu is held.
func (b *Balancer) evict(now time.Time) {
	b.agents.Forget(now)
	maps.DeleteFunc(b.lastWelcome, func(a netip.AddrPort, _ time.Time) bool { return !b.agents.Knows(a) })
	maps.DeleteFunc(b.readCapacity, func(a netip.AddrPort, _ uint32) bool { return !b.balancers.Knows(a) })
}

// gossipNow tells balancers now that the configuration was checked or has changed: all of them in a small deployment, in a larger
// one some, which tell others when they have it, so that neither messages nor bytes of the one that knows it first grow with their
// number.
func (b *Balancer) gossipNow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gossipNowLocked(time.Now())
}

// gossipNowLocked is gossipAtOnce with b.mu held.
func (b *Balancer) gossipNowLocked(now time.Time) {
	version, age, checked := b.configSync.state(now)
	to := b.balancers.All()
	if len(to) > fanOut {
		to = b.balancers.Sample(now, fanOut)
	}
	b.sendGossip(now, to, b.gossipMessage(version, age, checked))
}

func (b *Balancer) gossipMessage(version uint64, age time.Duration, checked bool) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_GOSSIP,
		Configuration: version,
		Evacuations:   encodeEvacuations(b.core.Evacuations()),
		Roster: &dsrpb.Roster{
			Checked:        checked,
			CheckedMs:      uint32(min(age, time.Hour) / time.Millisecond),
			ReadsPerSecond: b.ownReadCapacity(),
			Watches:        b.configSync.watches(),
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
	if b.balancers.Heard(now, from) {
		b.recordRegained(from)
	}
	b.balancers.Says(from, milliseconds(r.IntervalMs))
	if r.ReadsPerSecond > 0 {
		b.readCapacity[from] = r.ReadsPerSecond
	}
	b.addBalancers(now, decodeAddresses(r.Balancers))
	b.compareConfiguration(now, from, m)
	b.reportedEras.See(r.Era)
	b.receiveEvacuations(now, m.Evacuations)
	if agents := decodeAddresses(r.Agents); len(agents) > 0 {
		b.requestAgents = false
		b.introduceTo(now, agents)
	}
	if r.Ask {
		b.sendAgents(now, from)
	}
}

// compareConfiguration takes over what another balancer says of the configuration. b.mu is held.
func (b *Balancer) compareConfiguration(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	b.configSync.notifyNewer(m.Configuration, from)
	if m.Roster.Checked {
		b.configSync.confirm(m.Configuration, now.Add(-milliseconds(m.Roster.CheckedMs)-hopTime))
	}
	if m.Roster.Watches && checksBefore(m.Roster.ReadsPerSecond, from, b.ownReadCapacity(), b.self) {
		b.configSync.setWatching(false)
	}
}

// sendAgents names the living agents to a balancer that has just started. b.mu is held.
func (b *Balancer) sendAgents(now time.Time, to netip.AddrPort) {
	balancers := encodeAddresses(b.balancers.Sample(now, bootstrapPeers))
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

// introduceTo makes this balancer known to agents by hearsay; they announce themselves at once. b.mu is held.
func (b *Balancer) introduceTo(now time.Time, agents []netip.AddrPort) {
	for _, a := range agents {
		if !b.agents.Alive(now, a) {
			m := b.welcomeMessage(now, "")
			m.Roster.Ask = true
			// Agents that others know have met them.
			m.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, gossipedPeers))
			b.send(a, m)
		}
	}
}

// welcome answers an agent's announcement. b.mu is held.
func (b *Balancer) welcome(now time.Time, from netip.AddrPort, service string, a *dsrpb.Announcement) {
	if a == nil || a.Joined && a.State != dsrpb.State_STATE_ABSENT && now.Sub(b.lastWelcome[from]) < minWelcomeInterval(a) {
		return
	}
	b.lastWelcome[from] = now
	m := b.welcomeMessage(now, service)
	if a.DataCentre != b.cfg.DataCentre {
		m.Roster.IntervalMs = uint32(roster.FarIntervalFor(b.agents.Len()) / time.Millisecond)
	}
	if a.Joined {
		// An agent that has heard of this balancer lately knows most others.
		m.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, gossipedPeers))
	}
	if a.State != dsrpb.State_STATE_ABSENT {
		m.Roster.HealthPath = ""
	}
	m.Roster.Usual = b.core.Usual(now, from)
	b.send(from, m)
}

// minWelcomeInterval is the least time between two answers to an agent that knows this balancer: announcements come a quarter earlier than
// the agent says, so that this one is between the first and the second of them.
func minWelcomeInterval(a *dsrpb.Announcement) time.Duration {
	return max(welcomeInterval, milliseconds(a.IntervalMs)*(answeredAnnouncements*4-3)/4)
}

// sendHealthPaths tells agents without a target how to ask it whether it is ready, which they learn from the configuration.
// b.mu is held.
func (b *Balancer) sendHealthPaths(now time.Time) {
	for _, a := range b.core.WithoutTarget(now) {
		b.send(a.Address, b.welcomeMessage(now, a.Service))
	}
}

func (b *Balancer) welcomeMessage(now time.Time, service string) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_WELCOME,
		Configuration: b.core.Routes().Version(),
		Evacuations:   encodeEvacuations(b.core.Evacuations()),
		Roster: &dsrpb.Roster{
			Balancers:  encodeAddresses(b.balancers.Sample(now, bootstrapPeers)),
			HealthPath: b.core.Routes().HealthPath(service),
			IntervalMs: uint32(roster.IntervalFor(b.agents.Len()) / time.Millisecond),
		},
	}
}
