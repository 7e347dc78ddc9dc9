package requests

import (
	"context"
	"time"
)

const balanceInterval = 5 * time.Millisecond

// balance samples the busy slots of the targets.
type balance struct {
	cluster *cluster
	busy    map[*target]float64
	samples map[*target]float64
}

// sample takes samples until ctx ends. Targets that are dead or whose agents are leaving are not sampled.
func (b *balance) sample(ctx context.Context) {
	tick := time.NewTicker(balanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.sampleOnce()
		}
	}
}

func (b *balance) sampleOnce() {
	b.cluster.mu.RLock()
	defer b.cluster.mu.RUnlock()
	for _, list := range b.cluster.agents {
		for _, a := range list {
			if a.target.dead.Load() || a.leaving.Load() {
				continue
			}
			b.busy[a.target] += float64(a.target.busy.Load())
			b.samples[a.target]++
		}
	}
}

// worst returns the highest ratio of a target's mean of busy slots to the mean of its service's targets.
func (b *balance) worst() float64 {
	sum := make(map[string]float64)
	count := make(map[string]float64)
	top := make(map[string]float64)
	for g, busy := range b.busy {
		mean := busy / b.samples[g]
		sum[g.service] += mean
		count[g.service]++
		top[g.service] = max(top[g.service], mean)
	}
	worst := 0.0
	for service := range sum {
		if sum[service] > 0 {
			worst = max(worst, top[service]*count[service]/sum[service])
		}
	}
	return worst
}

// utilization returns the mean fraction of the slots that were busy.
func (b *balance) utilization() float64 {
	busy, slots := 0.0, 0.0
	for g, n := range b.busy {
		busy += n / b.samples[g]
		slots += float64(cap(g.slots))
	}
	if slots == 0 {
		return 0
	}
	return busy / slots
}
