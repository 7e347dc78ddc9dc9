package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// maxRunsOn is the maximum time for which a target runs on after its deregistration.
	maxRunsOn = 4 * time.Second
	// minLeaveGap and maxLeaveGap bound the time between two targets that leave.
	minLeaveGap = 300 * time.Millisecond
	maxLeaveGap = 2 * time.Second
)

// leaveLate has targets leave that run on after their deregistration, until ctx ends.
func (f *faults) leaveLate(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		a := f.w.agents[random.IntN(len(f.w.agents))]
		runsOn, down := between(random, 0, maxRunsOn), between(random, 0, targetDown)
		f.start(a.name+": the target runs on after its deregistration", func() { f.drain(ctx, a.target, runsOn, down) })
		_ = wait.For(ctx, between(random, minLeaveGap, maxLeaveGap))
	}
}
