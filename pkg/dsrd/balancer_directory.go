package dsrd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// openDirectory creates what reads and writes the agents that may hold open flows.
func (b *Balancer) openDirectory() {
	b.directoryReader = &directoryReader{store: b.platform.Store, log: b.log, started: b.started, load: b.loadDirectory}
	b.directoryWriter = &directoryWriter{
		store:       b.platform.Store,
		log:         b.log,
		scope:       b.scope,
		shouldWrite: b.writesDirectory,
		revision:    b.directoryRevision,
		list:        b.directoryList,
		load:        func(s directory.Snapshot) { b.loadDirectory(s, time.Time{}) },
	}
}

// loadDirectory adds agents that were read from the object API. Confirmed is when they were last known to be complete, if
// that counts.
func (b *Balancer) loadDirectory(s directory.Snapshot, confirmed time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.core.LoadDirectory(now, s)
	b.reportDirectory(now)
	if !confirmed.IsZero() {
		b.directoryConfirmed = confirmed
	}
	if s.Complete {
		// The list was kept until shortly before the start because flows were open. Agents that have restarted too do not
		// know them.
		b.openFlowsAt = now
	}
}

// recordOpenFlows records that an agent reports open flows. b.mu is held.
func (b *Balancer) recordOpenFlows(now time.Time, a *dsrpb.Announcement) {
	if a.Flows > 0 {
		b.openFlowsAt = now
	}
}

// writesDirectory reports whether this balancer writes the agents to the object API: it watches for all others, knows all
// agents, those that joined around its start included, and flows are open, which a restart of all balancers may find open.
// It logs each change.
func (b *Balancer) writesDirectory(now time.Time) bool {
	watches := b.configSync.watches()
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.directoryWriterStateAt(now, watches)
	if state != b.directoryState {
		b.log.Info().Str("op", "write-agents").Str("before", string(b.directoryState)).Str("state", string(state)).
			Msg("whether this balancer writes the agents that may hold open flows has changed")
	}
	b.directoryState = state
	return state == directoryWrites
}

// directoryWriterStateAt returns whether this balancer writes the agents, and if not, why. b.mu is held.
func (b *Balancer) directoryWriterStateAt(now time.Time, watches bool) directoryWriterState {
	switch {
	case !watches:
		return directoryNotWatching
	case now.Sub(b.started) < dispatch.SettleTime:
		return directoryStarting
	case b.openFlowsAt.IsZero() || now.Sub(b.openFlowsAt) > directory.MaxFlowAge:
		return directoryUnused
	case !b.core.Directory().Complete(now):
		return directoryIncomplete
	}
	return directoryWrites
}

func (b *Balancer) directoryRevision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Directory().Revision()
}

// directoryList returns the list to be stored, which is complete at the given time, and the revision of its content.
func (b *Balancer) directoryList(at time.Time) (l directory.List, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.core.Directory()
	return directory.NewList(at, d.Agents(), d.Routes(), d.Configuration(at)), d.Revision()
}

// reportDirectory updates the metrics of the directory, and logs when it becomes complete. b.mu is held.
func (b *Balancer) reportDirectory(now time.Time) {
	d := b.core.Directory()
	complete := d.Complete(now)
	if complete && !b.directoryComplete {
		b.log.Warn().Str("op", "list-agents").Int("agents", d.Len()).Msg("all agents that may hold open flows are known")
	}
	b.directoryComplete = complete
	b.scope.Gauge("dsr_directory_agents").Update(float64(d.Len()))
	b.scope.Gauge("dsr_directory_complete").Update(boolValue(complete))
	b.reportRoutesKnown(d.RoutesKnown(now))
}

// reportRoutesKnown updates the metric of the routes of before the start, and logs when they become known. b.mu is held.
func (b *Balancer) reportRoutesKnown(known bool) {
	if known && !b.routesKnown {
		b.log.Warn().Str("op", "list-routes").Uint64("configuration", configuration.DisplayVersion(b.core.Routes().Version())).
			Msg("all routes under which open flows may have begun are known")
	}
	b.routesKnown = known
	b.scope.Gauge("dsr_directory_routes_known").Update(boolValue(known))
}

// boolValue is the value of a gauge that is 1 or 0.
func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
