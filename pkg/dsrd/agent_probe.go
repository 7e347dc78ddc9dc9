package dsrd

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Times of the probes of a target at its agent's start.
const (
	// probeWindow is how long after its start an agent probes its target for readiness; by then a heartbeat has
	// arrived. probeTimeout bounds one probe of the target on the same VM.
	probeWindow  = 2 * time.Second
	probeTimeout = 300 * time.Millisecond
	// minProbeInterval is the time between two probes at the start. It grows to a fraction of the agent's age,
	// 1/probeSlowdown: a target that starts together with its agent is up within a tenth of a second, and one that is
	// not gets a few dozen probes, whatever the number of balancers.
	minProbeInterval = 20 * time.Millisecond
	probeSlowdown    = 10
)

// mayProbe reports whether the target is still to be probed. a.mu is held.
func (a *Agent) mayProbe(now time.Time) bool {
	return !a.table.TargetKnown() && now.Sub(a.started) <= probeWindow
}

// probe probes the target until it is ready, so that an agent that starts beside a running target need not wait for
// the next heartbeat, which takes up to 1.2 s.
func (a *Agent) probe(ctx context.Context, path string) {
	var err error
	for range int(probeWindow / minProbeInterval) {
		err = a.checkTarget(ctx, path, probeTimeout)
		now := time.Now()
		a.mu.Lock()
		keepProbing := a.mayProbe(now)
		a.mu.Unlock()
		if !keepProbing || wait.For(ctx, max(minProbeInterval, now.Sub(a.started)/probeSlowdown)) != nil {
			break
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
	if !a.table.TargetKnown() {
		a.log.Info().Err(err).Str("op", "probe").Stringer("peer", a.target).Msg("no health check of the target succeeded")
	}
}
