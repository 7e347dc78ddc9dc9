package dsrd

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// agentFanOut is the number of balancers that, on average, notify an agent at once: when its data centre is evacuated or used
// again, and of the health check of its target. The others report it when they answer its next announcement.
const agentFanOut = 6

// withoutEraTime is how long a balancer reads the evacuations itself after a balancer of a release without eras has
// reported them, since that one may be the one that watches for all.
const withoutEraTime = 2 * EvacuationWait

// readsEvacuations reports whether this balancer reads the evacuations: while it checks for others, while others may be
// unable to report them, and until it knows any unless another has had no time yet to report them.
func (b *Balancer) readsEvacuations() bool {
	now := time.Now()
	b.mu.Lock()
	known := b.core.Evacuations().Known()
	uninformed := !b.lastWithoutEra.IsZero() && now.Sub(b.lastWithoutEra) < withoutEraTime
	b.mu.Unlock()
	return !known && !b.configSync.mayStillBeTold(now) || uninformed || b.configSync.watches()
}

// knownEvacuations returns the evacuated data centres that this balancer knows.
func (b *Balancer) knownEvacuations() evacuation.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Evacuations()
}

// applyReadEvacuations applies evacuations read from the object API, and notifies other balancers of a change.
func (b *Balancer) applyReadEvacuations(s evacuation.Set) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.applyEvacuations(now, s) {
		b.gossipNowLocked(now)
	}
}

// receiveEvacuations applies the evacuations that another balancer reports. A change is passed on at once, as for a
// change of the configuration. b.mu is held.
func (b *Balancer) receiveEvacuations(now time.Time, m *dsrpb.Evacuations) {
	if m != nil && objectapi.EraOf(m.Version) == 0 && b.eras.Newest() > 0 {
		b.lastWithoutEra = now
	}
	if b.applyEvacuations(now, decodeEvacuations(m)) {
		b.gossipNowLocked(now)
	}
}

// applyEvacuations applies evacuations; it reports whether they have changed, so that other balancers may not know
// them. b.mu is held.
func (b *Balancer) applyEvacuations(now time.Time, s evacuation.Set) bool {
	before := b.core.Evacuations()
	if !b.core.SetEvacuations(now, s) {
		return false
	}
	if b.pendingRoutes != nil {
		b.applyRoutes(now, b.pendingRoutes)
		b.pendingRoutes = nil
	}
	changed := s.Changed(before)
	if len(changed) == 0 {
		return false
	}
	b.alarm.schedule(b.core.Deadline())
	b.notifyAgents(now, changed)
	b.log.Warn().Str("op", "adopt-evacuations").Uint64("version", s.Version).Strs("data_centres", s.DataCentres).
		Strs("before", before.DataCentres).Msg("evacuated data centres changed")
	return true
}

// notifyAgents notifies some of the agents in data centres that were evacuated or are used again. b.mu is held.
func (b *Balancer) notifyAgents(now time.Time, dataCentres []string) {
	for _, d := range dataCentres {
		for _, a := range b.core.AgentsOf(now, d) {
			if b.isNotifier() {
				b.send(a.Address, b.welcomeMessage(now, a.Service))
			}
		}
	}
}

// isNotifier draws at random whether this balancer is one of those that notify an agent at once. b.mu is held.
func (b *Balancer) isNotifier() bool {
	others := b.balancers.Len()
	return others < agentFanOut || rand.IntN(others+1) < agentFanOut
}

// encodeEvacuations encodes a set for a message; nil when it is not known.
func encodeEvacuations(s evacuation.Set) *dsrpb.Evacuations {
	if !s.Known() {
		return nil
	}
	return &dsrpb.Evacuations{Version: s.Version, DataCentres: s.DataCentres}
}

// decodeEvacuations decodes a message's set, which is unknown when the message has none. The names are copied, since
// the message refers to the receive buffer.
func decodeEvacuations(m *dsrpb.Evacuations) evacuation.Set {
	if m == nil {
		return evacuation.Set{}
	}
	names := make([]string, len(m.DataCentres))
	for i, name := range m.DataCentres {
		names[i] = strings.Clone(name)
	}
	return evacuation.NewSet(m.Version, names)
}
