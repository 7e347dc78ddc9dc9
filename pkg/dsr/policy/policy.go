// Package policy names the mechanisms of the decisions for pass-through services that can be switched off, to measure
// the effect of each. Operators do not set them: every daemon runs with all of them.
package policy

// Without names the mechanisms that are switched off; the zero value switches off none.
type Without struct {
	// HedgedOffers: the next agent is asked when the last one has not answered.
	HedgedOffers bool
	// HedgeBudget: hedged offers are limited to a share of all offers.
	HedgeBudget bool
	// Suspicion: an agent that left an offer unanswered is asked last.
	Suspicion bool
	// NearFirst: free targets in the balancer's data centre come first.
	NearFirst bool
	// FreeFirst: agents are asked for free slots before queue places.
	FreeFirst bool
	// SampledQueues: only a sample of agents is compared for a queue place.
	SampledQueues bool
	// TimelyFirst: queued flows that can still be answered in the promised time go first. Without it, flows go in
	// order of arrival.
	TimelyFirst bool
	// LongWork: a request counts as timely only when there is time for a long one.
	LongWork bool
	// GiveUpSilent: queued flows whose callers stopped retransmitting the opening packet are abandoned.
	GiveUpSilent bool
	// ExtraRequests: a target is given more requests than it has slots, to cover the round trips to its callers.
	ExtraRequests bool
	// HalfOpen: a flow whose caller does not send its request stops counting as work.
	HalfOpen bool
	// Parking: new flows are parked at a balancer while it or the agents have just started.
	Parking bool
	// FailingLast: targets that fail their requests are ejected.
	FailingLast bool
	// ColdLimit: targets that warm up get no more new flows than their service declares.
	ColdLimit bool
	// SpreadOut: flows above a data centre's share of all flows go to targets elsewhere that get fewer.
	SpreadOut bool
	// LearntLimit: targets whose processes ended soon after their start get fewer flows.
	LearntLimit bool
	// ConnectionLimit: targets hold no more flows than their service declares.
	ConnectionLimit bool
	// FailedAnswers: answers that are much faster and smaller than those of the service's other targets count as
	// failures.
	FailedAnswers bool
	// RequestQueue: requests on open flows wait in the order of all requests. Without it, they go to the target at once.
	RequestQueue bool
	// RefuseLate: a new flow that would be late because of requests of the same or a higher priority is declined.
	RefuseLate bool
	// TargetPace: targets that are slower than those of their service by their long-term work time get fewer requests.
	TargetPace bool
	// FlowWeight: where flows carry several requests, a new flow's place follows the open flows of the targets.
	FlowWeight bool
	// ShedExcess: while a service is overloaded, the excess of its new flows is refused at once, the lowest priority first.
	ShedExcess bool
	// RetryBudget: while a service is overloaded, further tries of refused callers are limited to a share of first tries.
	RetryBudget bool
	// FairCallers: while a service is overloaded, flows of callers that ask for more than others are refused first.
	FairCallers bool
	// BatchedSearch: an agent is asked about several flows by one message.
	BatchedSearch bool
	// ProbeAll: when every agent that may hold a flow has answered, all that cannot tell are probed in growing groups.
	ProbeAll bool
	// ResetGone: the caller of a flow that no target can hold is reset.
	ResetGone bool
}

// Mechanism is a named mechanism.
type Mechanism struct {
	Name string
	// Off switches it off.
	Off Without
}

func Mechanisms() []Mechanism {
	return []Mechanism{
		{"hedged-offers", Without{HedgedOffers: true}},
		{"hedge-budget", Without{HedgeBudget: true}},
		{"suspicion", Without{Suspicion: true}},
		{"near-first", Without{NearFirst: true}},
		{"free-first", Without{FreeFirst: true}},
		{"sampled-queues", Without{SampledQueues: true}},
		{"timely-first", Without{TimelyFirst: true}},
		{"long-work", Without{LongWork: true}},
		{"give-up-silent", Without{GiveUpSilent: true}},
		{"extra-requests", Without{ExtraRequests: true}},
		{"half-open", Without{HalfOpen: true}},
		{"parking", Without{Parking: true}},
		{"failing-last", Without{FailingLast: true}},
		{"cold-limit", Without{ColdLimit: true}},
		{"spread-out", Without{SpreadOut: true}},
		{"learnt-limit", Without{LearntLimit: true}},
		{"connection-limit", Without{ConnectionLimit: true}},
		{"failed-answers", Without{FailedAnswers: true}},
		{"request-queue", Without{RequestQueue: true}},
		{"refuse-late", Without{RefuseLate: true}},
		{"target-pace", Without{TargetPace: true}},
		{"flow-weight", Without{FlowWeight: true}},
		{"shed-excess", Without{ShedExcess: true}},
		{"retry-budget", Without{RetryBudget: true}},
		{"fair-callers", Without{FairCallers: true}},
		{"batched-search", Without{BatchedSearch: true}},
		{"probe-all", Without{ProbeAll: true}},
		{"reset-gone", Without{ResetGone: true}},
	}
}
