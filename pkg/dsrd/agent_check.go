package dsrd

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// checkSlowdown is the fraction of the time since the first check after which the target is checked again: a process that
	// starts or ends at once is found within minProbeInterval, and one that does not costs 15 checks in 10 s.
	checkSlowdown = 2
	// maxCheckTimeout bounds the wait for one answer. A target answers once a slot is free, so that later checks wait longer.
	maxCheckTimeout = 2 * time.Second
)

// checkTarget sends one health check and applies what it proves: which process runs, or that none listens.
func (a *Agent) checkTarget(ctx context.Context, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	n, err := a.platform.Probe(ctx, a.target, path)
	n.Began = began
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.recordRefusedProbe(now, err)
		return err
	}
	a.applyHealthCheck(now, n)
	return nil
}

// recordRefusedProbe records that no process listens at the target's address, so that the target holds no flow. a.mu is
// held.
func (a *Agent) recordRefusedProbe(now time.Time, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || !a.table.TargetNotRunning(now) {
		return
	}
	a.log.Warn().Err(err).Str("op", "probe").Stringer("peer", a.target).Msg("the target is not running and holds no flow")
	a.announceNow(now)
}

// applyHealthCheck applies the answer to a health check. a.mu is held.
func (a *Agent) applyHealthCheck(now time.Time, n announcement.HealthCheck) {
	last := a.table.TargetIncarnation().ID
	if !a.table.HealthChecked(now, n) {
		return
	}
	state := a.table.State(now)
	a.log.Warn().Str("op", "target-state").Str("target", n.ID).Str("last", last).Bool("healthy", n.Ready).Stringer("before", a.state).
		Stringer("state", state).Msg("a health check says which process of the target runs")
	a.state = state
	a.announceNow(now)
	a.alarm.schedule(a.table.Deadline())
}

// awaitProof begins to check which process of the target runs, if that is in doubt or a process that has deregistered may still
// run. a.mu is held.
func (a *Agent) awaitProof() {
	if a.checking || a.healthPath == "" || !a.needsCheck(time.Now()) {
		return
	}
	a.checking = true
	go a.checkUntilProven(a.runCtx, time.Now(), a.healthPath)
}

// needsCheck reports whether a health check can tell something about the target's process. a.mu is held.
func (a *Agent) needsCheck(now time.Time) bool {
	return a.table.AwaitsTargetEnd() || a.table.AwaitsProof(now)
}

// checkUntilProven sends health checks until they have told which process runs, or that the one that has deregistered has ended.
// They stop when no flow of that process can be open.
func (a *Agent) checkUntilProven(ctx context.Context, began time.Time, path string) {
	for {
		elapsed := time.Since(began)
		if wait.For(ctx, max(minProbeInterval, elapsed/checkSlowdown)) != nil || !a.keepsChecking(began) {
			return
		}
		a.checkAgain(ctx, path, min(max(probeTimeout, elapsed), maxCheckTimeout))
	}
}

// checkAgain sends one health check of those that follow each other.
func (a *Agent) checkAgain(ctx context.Context, path string, timeout time.Duration) {
	a.mu.Lock()
	awaitsEnd := a.table.AwaitsTargetEnd()
	a.mu.Unlock()
	err := a.checkTarget(ctx, path, timeout)
	if !awaitsEnd {
		a.log.Info().Err(err).Str("op", "target-state").Stringer("peer", a.target).Msg("the target was checked again, since its process is in doubt")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordEndCheck()
}

// keepsChecking reports whether the checks go on.
func (a *Agent) keepsChecking(began time.Time) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checking = a.needsCheck(now) && now.Sub(began) <= directory.MaxFlowAge
	return a.checking
}
