// Package policy names the mechanisms of the decisions for pass-through services that can be switched off, to measure what each
// is worth. Operators do not set them: every daemon works with all of them.
package policy

// Without says which mechanisms are switched off; the zero value switches off none.
type Without struct {
	// HedgedOffers: the next agent is asked when the last one has not answered.
	HedgedOffers bool
	// HedgeBudget: these offers are bounded by a share of all.
	HedgeBudget bool
	// Suspicion: an agent that left an offer unanswered is asked last.
	Suspicion bool
	// NearFirst: free targets of the balancer's data centre come first.
	NearFirst bool
	// FreeFirst: agents are asked for free slots before places in queues.
	FreeFirst bool
	// SampledQueues: only some agents are compared for a place in a queue.
	SampledQueues bool
	// TimelyFirst: waiting flows that can still be answered in the promised time go first. Without it they go in order of arrival.
	TimelyFirst bool
	// LongWork: a request counts as timely only when there is time for a long one.
	LongWork bool
	// GiveUpSilent: waiting flows are given up whose callers stopped repeating the opening packet.
	GiveUpSilent bool
	// ExtraRequests: a target is handed a third more requests than it has slots.
	ExtraRequests bool
	// HalfOpen: a flow whose caller does not send its request stops counting as work.
	HalfOpen bool
	// Parking: new flows wait at a balancer while it or the agents have just started.
	Parking bool
	// FailingLast: targets that fail their requests are left out.
	FailingLast bool
	// ColdLimit: targets that warm up get no more new flows than their service declares.
	ColdLimit bool
	// SpreadOut: flows beyond a data centre's part of all go to targets elsewhere that get less.
	SpreadOut bool
	// LearntLimit: targets whose processes ended soon after their start get less.
	LearntLimit bool
	// FailedAnswers: answers that are much faster and smaller than those of the service's other targets count as failures.
	FailedAnswers bool
}

// Mechanism is one mechanism by name.
type Mechanism struct {
	Name string
	// Off returns a value that switches it off.
	Off Without
}

// Mechanisms are all mechanisms.
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
		{"failed-answers", Without{FailedAnswers: true}},
	}
}
