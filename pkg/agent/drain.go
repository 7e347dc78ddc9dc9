package agent

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Drain stops accepting new flows and waits until the open ones have ended, at most for the drain time; then it resets
// the remaining flows and records each. After that it forwards packets of other agents' flows for the linger time. The
// end of ctx cuts both waits short. The agent itself runs until Run's context ends. Calls after the first return at
// once.
func (a *Agent) Drain(ctx context.Context) {
	if a.draining.Swap(true) {
		return
	}
	a.deps.Log.Info().Str("op", "drain").Int("flows", a.OpenFlows()).Send()
	a.arbiter.Drain(a.deps.Now())
	a.deps.OnDraining()
	a.awaitFlows(ctx, a.DrainTime())
	a.resetRemaining()
	a.sleep(ctx, a.cfg.Linger)
	a.deps.Log.Info().Str("op", "drained").Int("flows", a.OpenFlows()).Send()
}

// DrainTime returns how long Drain waits for open flows: the configured value, else that of the service.
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
	t := time.NewTicker(tickInterval)
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

func (a *Agent) resetRemaining() {
	s := a.service.Load()
	for _, f := range a.registry.snapshot() {
		if state, _ := f.status(); state == flowEnded {
			continue
		}
		a.record(s, f.key, f.hash, refusal.ReasonDrainTimeOver, "the flow was open when the drain time was over", a.deps.Now())
		f.abort()
	}
}

func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.ctx.Done():
	case <-t.C:
	}
}
