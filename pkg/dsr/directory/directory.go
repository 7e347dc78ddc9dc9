// Package directory keeps the agents beside which a target may hold open flows, by service. After all balancers were
// killed at once, packets of open flows reach processes that know none of them: only a balancer that knows every agent
// may conclude from their answers that a flow is gone.
//
// It does no I/O and reads no clock. A balancer learns agents from their announcements; one that has just started reads
// those of before from the object API, where the balancer that watches the configuration for all keeps them.
package directory

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxFlowAge is how long a flow may last. A target that has left or changed its service for longer holds no flow
	// of before.
	MaxFlowAge = 60 * time.Second
	// MaxSilence is how long an agent stays listed that is silent without having said that its target leaves. Its
	// announcements are up to 5 minutes apart and four of them may be missed. It also covers a cut between regions,
	// behind which targets go on taking flows.
	MaxSilence = 30 * time.Minute
)

// Directory lists the agents of each service. It is not safe for concurrent use.
type Directory struct {
	started time.Time
	// first is set when the whole system starts for the first time.
	first bool
	// loaded is set once a snapshot that is complete was loaded.
	loaded bool
	agents map[netip.AddrPort]*holder
	// ended are the agents whose targets have ended, with the time until which a stored list may still name them.
	ended map[netip.AddrPort]time.Time
	// routes are those of the configuration in force, formerRoutes those of before, with the time until which their flows may
	// be open.
	routes       map[Route]bool
	formerRoutes map[Route]time.Time
	// configuration is the version in force, firstConfiguration that of the first one, loadedConfiguration the highest with
	// all routes of before in a snapshot; 0 when there was none.
	configuration       uint64
	firstConfiguration  uint64
	loadedConfiguration uint64
	// routesKnown is what RoutesKnown last returned at a sweep.
	routesKnown bool
	// revision rises with each change of what Agents, Routes or Configuration returns.
	revision uint64
}

// New returns an empty directory of a process that started at the given time. With first set, no flow can be older than
// the process, since the whole system starts for the first time.
func New(started time.Time, first bool) *Directory {
	return &Directory{
		started: started, first: first, loaded: first, agents: make(map[netip.AddrPort]*holder),
		ended:        make(map[netip.AddrPort]time.Time),
		formerRoutes: make(map[Route]time.Time),
	}
}

// Record notes that an agent was heard of.
func (d *Directory) Record(now time.Time, service string, agent netip.AddrPort) {
	delete(d.ended, agent)
	d.holderOf(agent).expires = now.Add(MaxSilence)
	d.setService(now, service, agent)
}

// RecordEnded notes that an agent said that its target holds no flow of any service, and takes none. A stored list that
// still names it is out of date.
func (d *Directory) RecordEnded(now time.Time, agent netip.AddrPort) {
	d.ended[agent] = now.Add(MaxSilence)
	if d.agents[agent] == nil {
		return
	}
	delete(d.agents, agent)
	d.revision++
}

// RecordLeaving notes that an agent said that its target takes no new flows. It stays listed until the last of its flows
// must have ended, and while it is not silent for longer than the given time.
func (d *Directory) RecordLeaving(now time.Time, service string, agent netip.AddrPort, silence time.Duration) {
	delete(d.ended, agent)
	d.holderOf(agent).expires = now.Add(max(MaxFlowAge, silence))
	d.setService(now, service, agent)
}

// holderOf returns an agent, which it adds if it is not listed.
func (d *Directory) holderOf(agent netip.AddrPort) *holder {
	h := d.agents[agent]
	if h == nil {
		h = new(holder)
		d.agents[agent] = h
		d.revision++
	}
	return h
}

// setService notes to which service the target of a listed agent belongs.
func (d *Directory) setService(now time.Time, service string, agent netip.AddrPort) {
	if d.agents[agent].setService(now, service) {
		d.revision++
	}
}

// Load adds the agents and the routes of a snapshot.
func (d *Directory) Load(now time.Time, s Snapshot) {
	d.loadRoutes(now, s.Routes)
	d.loadedConfiguration = max(d.loadedConfiguration, s.Configuration)
	for service, agents := range s.Agents {
		for _, a := range agents {
			d.loadAgent(now, service, a)
		}
	}
	d.loaded = d.loaded || s.Complete
}

// loadAgent adds one agent of a snapshot. What the agent itself has said goes first: a service that it has not named is
// one of before.
func (d *Directory) loadAgent(now time.Time, service string, agent netip.AddrPort) {
	if _, ended := d.ended[agent]; ended || service == "" || !agent.IsValid() {
		return
	}
	h := d.holderOf(agent)
	if h.expires.IsZero() {
		h.expires = now.Add(MaxSilence)
	}
	until := now.Add(MaxFlowAge)
	if h.service == "" {
		until = h.expires
	}
	if h.addFormer(service, until) {
		d.revision++
	}
}

// Expire removes the agents, and the former services of agents, that can hold no flow any more. It looks at all agents.
func (d *Directory) Expire(now time.Time) {
	if known := d.RoutesKnown(now); known != d.routesKnown {
		d.routesKnown = known
		d.revision++
	}
	maps.DeleteFunc(d.ended, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	for r, until := range d.formerRoutes {
		if !now.Before(until) {
			delete(d.formerRoutes, r)
			d.revision++
		}
	}
	for a, h := range d.agents {
		if !now.Before(h.expires) {
			delete(d.agents, a)
			d.revision++
			continue
		}
		if h.expireFormer(now) {
			d.revision++
		}
	}
}

// Complete reports whether every agent that may hold an open flow is listed. A balancer that has heard of no agent is
// cut off.
func (d *Directory) Complete(now time.Time) bool {
	if len(d.agents) == 0 {
		return false
	}
	return d.loaded || now.Sub(d.started) > MaxFlowAge
}

// Holders returns the agents beside which a target may hold flows of a service, in the order of their addresses: those of
// the service, and those whose targets belonged to it within MaxFlowAge.
func (d *Directory) Holders(service string) []netip.AddrPort {
	var out []netip.AddrPort
	for a, h := range d.agents {
		if h.mayHold(service) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Agents returns the agents of each service, former services included, in the order of their addresses.
func (d *Directory) Agents() map[string][]netip.AddrPort {
	out := make(map[string][]netip.AddrPort)
	for a, h := range d.agents {
		if h.service != "" {
			out[h.service] = append(out[h.service], a)
		}
		for service := range h.former {
			out[service] = append(out[service], a)
		}
	}
	for _, agents := range out {
		slices.SortFunc(agents, netip.AddrPort.Compare)
	}
	return out
}

// Len returns the number of listed agents.
func (d *Directory) Len() int { return len(d.agents) }

// Revision rises with each change of what Agents, Routes or Configuration returns.
func (d *Directory) Revision() uint64 { return d.revision }
