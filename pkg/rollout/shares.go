package rollout

import "github.com/auburnwood/auburnwood/pkg/resource"

// fullWeight is the weight of a version that takes every new flow, in percent.
const fullWeight = 100

// Initial returns the state of a rollout that has not begun its first step.
func Initial(r resource.Rollout) resource.RolloutStatus {
	return resource.RolloutStatus{From: r.From, To: r.To, State: resource.RolloutProgressing}
}

// Shares returns the effective shares of a service: those of its rollout's state, or those of the specification when no
// rollout is configured. A state of other versions belongs to an earlier rollout and is ignored.
func Shares(s resource.ServiceSpec, state resource.RolloutStatus) []resource.Share {
	if s.Rollout == nil {
		return s.Shares
	}
	weight := state.Weight
	if state.From != s.Rollout.From || state.To != s.Rollout.To {
		weight = 0
	}
	return []resource.Share{
		{Version: s.Rollout.From, Weight: fullWeight - min(weight, fullWeight)},
		{Version: s.Rollout.To, Weight: min(weight, fullWeight)},
	}
}
