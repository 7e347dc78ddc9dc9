package refusal

// explanations say what happened, by reason.
var explanations = map[Reason]string{
	ReasonUnknownAddress:  "no accepted service has the address that the caller used",
	ReasonNoTarget:        "the service has no target that is active and may take new flows",
	ReasonAllFull:         "every target that may take the flow or request is at its limit",
	ReasonDraining:        "the only targets that could take it are leaving",
	ReasonTargetDied:      "the target or its VM ended while the flow was open, or the flow's owner is gone",
	ReasonTargetRefused:   "the target did not accept the agent's connection",
	ReasonWrongService:    "a packet or request for one service reached an agent of another; it was not delivered",
	ReasonOwnerLost:       "a packet belongs to no flow that any agent of the row knows",
	ReasonNoConfiguration: "the deciding process knows no revision, or an agent not yet its service; it refuses rather than guess",
	ReasonQueueFull:       "as many requests wait for slots as limits.queue allows, or the agent remembers as many tickets as it may",
	ReasonTooManyFlows:    "the balancer keeps as many flows of pass-through services as it may, 50,000",
	ReasonDeadline:        "the deadline would pass, or passed, before the work could be run or answered",
	ReasonCancelled:       "the caller went away or cancelled before the answer",
	ReasonTargetShed:      "the target itself answered that it is overloaded",
	ReasonTicketUnknown:   "this agent did not issue the ticket, or no longer remembers it",
	ReasonTicketExpired:   "the ticket was not spent in time; it will never be run",
	ReasonTicketSpent:     "the ticket was spent before; the request is not run again",
	ReasonTicketGone:      "the agent that issued the ticket has ended, so nobody can say whether it ran",
	ReasonClaimed:         "another submission holds the idempotency key",
	ReasonClaimStore:      "the claim of the key could not be made in the object API; with RUN no it was not run",
	ReasonRetryBudget:     "the target failed, and retries are held back to protect the others",
	ReasonDrainTimeOver:   "the flow was still open when the leaving target's drain time was over",
	ReasonMalformed:       "the request could not be understood: headers, key or ticket",
	ReasonTargetFailed:    "the target's answer failed or was cut; it may have run the request",
	ReasonEvacuated:       "targets are there, but operators have evacuated every data centre that has one",
	ReasonRegion:          "targets are there, but none in a region that the route and the service allow",
	ReasonConnectionLimit: "the targets to which the flow may go hold as many flows as maxConnections allows: all, or the five that were asked",
	ReasonOverloaded:      "the answer could not come in the promised time because of requests of the same or a higher priority",
	ReasonTargetGone:      "the flow's target has ended or was replaced, and no other target holds the flow; the caller was reset and opens a new one",
}

// Explanation returns what happened, in a sentence without its full stop; empty for an unknown reason. The operators' page
// has the same sentences.
func (r Reason) Explanation() string { return explanations[r] }
