package dsrd

import (
	"maps"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
)

const (
	// fanOut is the number of balancers that are notified of a check or a change at once. Of 490 balancers all but
	// one in 400 receive a change when each notifies six; the rest get it with the next regular message, of which
	// each gets 20 a second.
	fanOut = 6
	// bootstrapPeers is the number of balancers named in a message to a process that may know only those in its settings.
	// Three of them that name 16 each lead to all others in a few messages. Naming all would make the bytes of a start grow
	// with the square of the number of balancers.
	bootstrapPeers = 16
	// reconnectPeers is the number of balancers named in a message to a silent one, which gets several messages a
	// second.
	reconnectPeers = 4
	// gossipedPeers is the number of balancers named in a regular message, others each time. A process that has
	// missed one when all started together learns its address within a second among 59 balancers, within a minute
	// among 490.
	gossipedPeers = 2
	// evictInterval is the time between two removals of the state of lost processes, which look at all of them.
	evictInterval = 5 * time.Second
	// hopTime is the assumed time of a message between balancers. It is added to the age of a check at each hop;
	// without it a check would stay fresh forever where many pass it on.
	hopTime = 10 * time.Millisecond
)

// addDiscovered adds balancers that others have named, and sends gossip to the new ones at once.
func (b *Balancer) addDiscovered(addresses []netip.AddrPort) { b.contactNew(addresses, b.gossip) }

func (b *Balancer) living() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancers.Living(time.Now())
}

// gossip sends gossip to the balancers that are due, and logs and evicts lost processes.
func (b *Balancer) gossip(now time.Time) {
	version, age, checked := b.configSync.state(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.MarkRunning(now)
	agentLost.log(b.log, b.agents.NewlySilent(now))
	agentRegained.log(b.log, b.regainedAgents)
	b.regainedAgents = b.regainedAgents[:0]
	b.logBalancers(now)
	b.evict(now)
	b.sendGossip(now, b.balancers.Due(now), b.gossipMessage(version, age, checked))
}

// sendGossip completes a gossip message for each of the balancers and sends it. b.mu is held.
func (b *Balancer) sendGossip(now time.Time, to []netip.AddrPort, m *dsrpb.Message) {
	if len(to) == 0 {
		return
	}
	reconnect := encodeAddresses(b.balancers.Sample(now, reconnectPeers))
	regular := encodeAddresses(b.balancers.Sample(now, gossipedPeers))
	asked := 0
	for _, a := range to {
		// A peer that is alive knows most others; naming them all would make the bytes grow with the square of their
		// number.
		m.Roster.Balancers = regular
		if !b.balancers.Alive(now, a) {
			m.Roster.Balancers = reconnect
		}
		m.Roster.Ask = b.requestAgents && asked < queriedPeers
		m.Roster.IntervalMs = uint32(b.balancers.IntervalTo(a) / time.Millisecond)
		asked++
		b.send(a, m)
	}
}

// evict removes the state of processes that were silent for long, once in evictInterval. b.mu is held.
func (b *Balancer) evict(now time.Time) {
	if now.Sub(b.evicted) < evictInterval {
		return
	}
	b.evicted = now
	b.agents.Expire(now)
	b.reportDirectory(now)
	maps.DeleteFunc(b.lastWelcome, func(a netip.AddrPort, _ time.Time) bool { return !b.agents.Contains(a) })
	maps.DeleteFunc(b.readCapacity, func(a netip.AddrPort, _ uint32) bool { return !b.balancers.Contains(a) })
}

// gossipNow notifies balancers that the configuration was checked or has changed: all of them in a small deployment,
// some in a larger one, which notify others when they have it. So neither the messages nor the bytes of the first
// balancer grow with their number.
func (b *Balancer) gossipNow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gossipNowLocked(time.Now())
}

// gossipNowLocked is gossipNow with b.mu held.
func (b *Balancer) gossipNowLocked(now time.Time) {
	version, age, checked := b.configSync.state(now)
	b.sendGossip(now, b.notified(now), b.gossipMessage(version, age, checked))
}

// notified returns the balancers that are notified at once. b.mu is held.
func (b *Balancer) notified(now time.Time) []netip.AddrPort {
	if b.balancers.Len() <= fanOut {
		return b.balancers.All()
	}
	return b.balancers.Sample(now, fanOut)
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

// fromBalancer receives another balancer's gossip. b.mu is held.
func (b *Balancer) fromBalancer(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	r := m.Roster
	if r == nil || from == b.self {
		return
	}
	if b.balancers.MarkSeen(now, from) {
		b.recordRegained(from)
	}
	b.balancers.SetSendInterval(from, milliseconds(r.IntervalMs))
	if r.ReadsPerSecond > 0 {
		b.readCapacity[from] = r.ReadsPerSecond
	}
	b.addBalancers(now, decodeAddresses(r.Balancers))
	b.compareConfiguration(now, from, m)
	b.tellStarting(now, from, m.Configuration)
	b.reportedEras.Observe(r.Era)
	b.receiveEvacuations(now, m.Evacuations)
	if agents := decodeAddresses(r.Agents); len(agents) > 0 {
		b.requestAgents = false
		b.introduceTo(now, agents)
	}
	if r.Ask {
		b.sendAgents(now, from)
	}
}

// compareConfiguration applies what another balancer reports of the configuration. b.mu is held.
func (b *Balancer) compareConfiguration(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	b.configSync.recordNewer(m.Configuration, from)
	if m.Roster.Checked {
		b.configSync.confirm(m.Configuration, now.Add(-milliseconds(m.Roster.CheckedMs)-hopTime))
	}
	if m.Roster.Watches && checksBefore(m.Roster.ReadsPerSecond, from, b.ownReadCapacity(), b.self) {
		b.configSync.yield(now)
	}
}

// tellStarting answers a balancer that has no configuration yet at once, since it serves nobody until then. b.mu is held.
func (b *Balancer) tellStarting(now time.Time, from netip.AddrPort, configuration uint64) {
	version, age, checked := b.configSync.state(now)
	if configuration == 0 && version > 0 && b.core.Evacuations().Known() {
		b.sendGossip(now, []netip.AddrPort{from}, b.gossipMessage(version, age, checked))
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
		m.Roster.IntervalMs = uint32(roster.RemoteIntervalFor(b.agents.Len()) / time.Millisecond)
	}
	if a.Joined {
		// An agent that has received messages from this balancer lately knows most others.
		m.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, gossipedPeers))
	}
	m.Roster.Usual = b.core.Usual(now, from)
	b.send(from, m)
}

// minWelcomeInterval is the least time between two answers to an agent that knows this balancer: announcements come
// up to a quarter earlier than the agent says, so that this one is between the first and the second of them.
func minWelcomeInterval(a *dsrpb.Announcement) time.Duration {
	return max(welcomeInterval, milliseconds(a.IntervalMs)*(answeredAnnouncements*4-3)/4)
}

// sendHealthPaths sends agents without a target the path of the health check, which the configuration names. Each agent
// gets it from some balancers, and with the answer to its next announcement. b.mu is held.
func (b *Balancer) sendHealthPaths(now time.Time) {
	for _, a := range b.core.AgentsWithoutTarget(now) {
		if b.isNotifier() {
			b.send(a.Address, b.welcomeMessage(now, a.Service))
		}
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
