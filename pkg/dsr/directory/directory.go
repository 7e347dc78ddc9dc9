// Package directory keeps the agents beside which a target may hold open flows, by service, so that a balancer can tell
// whether everyone who could hold a flow has been asked.
//
// It does no I/O and reads no clock. A balancer learns agents from their announcements; one that has just started reads
// those of before from the object API, where the balancer that watches the configuration for all keeps them.
package directory

import (
	"net/netip"
	"slices"
	"time"
)

// MaxFlowAge is how long a flow may last. An agent that was not heard of for longer holds none that callers still use.
const MaxFlowAge = 60 * time.Second

// Directory lists the agents of each service. It is not safe for concurrent use.
type Directory struct {
	started time.Time
	// loaded is set once a snapshot that is complete was loaded.
	loaded bool
	agents map[netip.AddrPort]*holder
}

// holder is one agent.
type holder struct {
	service  string
	lastSeen time.Time
}

// Snapshot is the directory's content as kept in the object API.
type Snapshot struct {
	// Agents are the agents of each service.
	Agents map[string][]netip.AddrPort
	// Complete is set when no agent can have taken flows without being listed.
	Complete bool
}

// New returns an empty directory of a process that started at the given time. With first set, no flow can be older than
// the process, since the whole system starts for the first time.
func New(started time.Time, first bool) *Directory {
	return &Directory{started: started, loaded: first, agents: make(map[netip.AddrPort]*holder)}
}

// Record notes that an agent was heard of.
func (d *Directory) Record(now time.Time, service string, agent netip.AddrPort) {
	h := d.agents[agent]
	if h == nil {
		h = new(holder)
		d.agents[agent] = h
	}
	h.service, h.lastSeen = service, now
}

// Load adds the agents of a snapshot.
func (d *Directory) Load(now time.Time, s Snapshot) {
	for service, agents := range s.Agents {
		for _, a := range agents {
			if d.agents[a] == nil {
				d.Record(now, service, a)
			}
		}
	}
	d.loaded = d.loaded || s.Complete
}

// Complete reports whether every agent that may hold an open flow is listed.
func (d *Directory) Complete(now time.Time) bool {
	return d.loaded || now.Sub(d.started) > MaxFlowAge
}

// Holders returns the agents beside which a target may hold flows of a service, in the order of their addresses.
func (d *Directory) Holders(service string) []netip.AddrPort {
	var out []netip.AddrPort
	for a, h := range d.agents {
		if h.service == service {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y netip.AddrPort) int { return x.Compare(y) })
	return out
}
