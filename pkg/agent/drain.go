package agent

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Drain takes no new flow from now on and waits until the open flows have ended, at most for the drain time; then it
// resets the rest and records each. After that it forwards packets of other agents' flows for the linger time. The end
// of ctx ends the waiting, as if the drain time were over. The agent runs until Run's context ends.
func (a *Agent) Drain(ctx context.Context) {
	if a.draining.Swap(true) {
		return
	}
	a.deps.Log.Info().Str("op", "drain").Int("flows", a.OpenFlows()).Send()
	a.arbiter.Drain(a.deps.Now())
	a.deps.OnDraining()
	a.awaitFlows(ctx, a.DrainTime())
	a.resetRest()
	a.pause(ctx, a.cfg.Linger)
	a.deps.Log.Info().Str("op", "drained").Int("flows", a.OpenFlows()).Send()
}

// DrainTime returns the time that flows get to end: that of the settings or else that of the service.
func (a *Agent) DrainTime() time.Duration {
	if a.cfg.DrainTime > 0 {
		return a.cfg.DrainTime
	}
	s := a.service.Load()
	if s == nil {
		return resource.DefaultDrainTime
	}
	return s.Spec.DrainTime.Or(resource.DefaultDrainTime)
}

func (a *Agent) awaitFlows(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for a.OpenFlows() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Agent) resetRest() {
	s := a.service.Load()
	for _, f := range a.registry.snapshot() {
		if state, _ := f.view(); state == flowEnded {
			continue
		}
		a.record(s, f.key, f.hash, refusal.ReasonDrainTimeOver, "the flow was open when the drain time was over", a.deps.Now())
		f.abort()
	}
}

func (a *Agent) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.ctx.Done():
	case <-t.C:
	}
}
