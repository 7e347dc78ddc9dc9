package soak

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// killAllOnce kills all daemons at once after Options.KillAllAfter, beside open flows, and the process of the first target
// with them. It returns when during ends.
func (f *faults) killAllOnce(during context.Context) {
	_ = wait.For(during, f.w.o.KillAllAfter)
	f.w.counts.add(func(r *Result) { r.Faults++ })
	f.script("kill all, and the target of " + f.w.agents[0].name)
	f.w.recordAgentsKilled()
	f.w.agents[0].target.stopProcess()
	f.kill(during, f.between(0, maxDown), f.w.processes(true, true)...)
	f.replace(during, f.w.agents[0].target, 0)
	<-during.Done()
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
