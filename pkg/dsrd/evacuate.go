package dsrd

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// agentFanOut is the number of balancers from which an agent hears at once, on average, that its data centre is evacuated or used
// again. The others tell it when they answer its next announcement.
const agentFanOut = 6

// withoutEraTime is how long a balancer reads the evacuations itself after one of a release without eras has named them, which may be the one that
// watches for all.
const withoutEraTime = 2 * EvacuationWait

// readsEvacuations reports whether this balancer reads the evacuations: until it knows any, while it checks for others, and while others may not be
// able to tell it.
func (b *Balancer) readsEvacuations() bool {
	b.mu.Lock()
	known := b.core.Evacuations().Known()
	untold := !b.lastWithoutEra.IsZero() && time.Since(b.lastWithoutEra) < withoutEraTime
	b.mu.Unlock()
	return !known || untold || b.configSync.watches()
}

// knownEvacuations returns the evacuated data centres as this balancer knows them.
func (b *Balancer) knownEvacuations() evacuation.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Evacuations()
}

// applyReadEvacuations takes over which data centres are evacuated, and hands it on when that is news.
func (b *Balancer) applyReadEvacuations(s evacuation.Set) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.applyEvacuations(now, s) {
		b.gossipNowLocked(now)
	}
}

// receiveEvacuations takes over what another balancer says. News goes on at once, as for a change of the configuration. b.mu is held.
func (b *Balancer) receiveEvacuations(now time.Time, m *dsrpb.Evacuations) {
	if m != nil && objectapi.EraOf(m.Version) == 0 && b.eras.Newest() > 0 {
		b.lastWithoutEra = now
	}
	if b.applyEvacuations(now, decodeEvacuations(m)) {
		b.gossipNowLocked(now)
	}
}

// applyEvacuations takes evacuations into force; it reports whether other balancers may not know them. b.mu is held.
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
		Strs("before", before.DataCentres).Msg("the evacuated data centres are known")
	return true
}

// notifyAgents tells some of the agents of data centres that were evacuated or are used again. b.mu is held.
func (b *Balancer) notifyAgents(now time.Time, dataCentres []string) {
	for _, d := range dataCentres {
		for _, a := range b.core.AgentsOf(now, d) {
			if b.isNotifier() {
				b.send(a.Address, b.welcomeMessage(now, a.Service))
			}
		}
	}
}

// isNotifier draws whether this balancer is one of those that tell an agent at once. b.mu is held.
func (b *Balancer) isNotifier() bool {
	others := b.balancers.Len()
	return others < agentFanOut || rand.IntN(others+1) < agentFanOut
}

// encodeEvacuations writes a set for a message; nothing when it is not known.
func encodeEvacuations(s evacuation.Set) *dsrpb.Evacuations {
	if !s.Known() {
		return nil
	}
	return &dsrpb.Evacuations{Version: s.Version, DataCentres: s.DataCentres}
}

// decodeEvacuations reads what a message says; the set is not known when it says nothing. The message refers to the receive buffer.
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
