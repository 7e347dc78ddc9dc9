package dsrd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// serviceStates implements serviceStates.
func (b *Balancer) serviceStates(now time.Time) map[string]serviceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	summaries := b.core.TargetSummaries(now)
	out := make(map[string]serviceState, len(summaries))
	for service, targets := range summaries {
		state := serviceState{targets: targets}
		b.addOverload(service, &state)
		out[service] = state
	}
	return out
}

// addOverload adds what is known of the overload of a service. b.mu is held.
func (b *Balancer) addOverload(service string, state *serviceState) {
	o := b.core.Overload(service)
	state.saturatedSince, state.refused, state.capacity = o.SaturatedSince, o.Refused, o.Capacity
	for _, d := range o.Demands {
		state.demands = append(state.demands, resource.DSRPriorityDemand{Priority: d.Priority, PerSecond: d.PerSecond})
	}
}
