package soak

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// killAllOnSchedule kills all daemons at once after Options.KillAllAfter, beside open flows, and a second time after
// Options.KillAllAgainAfter. It returns when during ends.
func (f *faults) killAllOnSchedule(during context.Context) {
	_ = wait.For(during, f.w.o.KillAllAfter)
	f.killAll(during, f.w.agents[0])
	if f.w.o.KillAllAgainAfter > 0 {
		_ = wait.For(during, f.w.o.KillAllAgainAfter)
		f.killAll(during, f.w.agents[1])
	}
	<-during.Done()
}

// killAll kills all daemons at once, and the process of one target with them, and starts them again.
func (f *faults) killAll(during context.Context, a *agent) {
	if during.Err() != nil {
		return
	}
	f.w.counts.add(func(r *Result) { r.Faults++ })
	f.script("kill all, and the target of " + a.name)
	f.w.recordAgentsKilled()
	a.target.stopProcess()
	f.kill(during, f.between(0, maxDown), f.w.processes(true, true)...)
	f.replace(during, a.target, 0)
}

// checkDirectories checks that every balancer knows all agents that may hold open flows.
func (w *world) checkDirectories(ctx context.Context) {
	for _, b := range w.balancers {
		s, err := b.state(ctx)
		if err != nil || !s.AllAgentsListed || s.ListedAgents != len(w.agents) {
			w.counts.violation("%s lists %d of %d agents, all known: %t: %v", b.name, s.ListedAgents, len(w.agents), s.AllAgentsListed, err)
		}
	}
}
