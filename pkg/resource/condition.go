package resource

import "time"

// ConditionType names one aspect of a service's status.
type ConditionType string

// Condition types.
const (
	// ConditionAccepted is true when the observed version of the service is part of the accepted revision.
	ConditionAccepted ConditionType = "Accepted"
	// ConditionInForce is true when every known balancer has adopted the accepted revision.
	ConditionInForce ConditionType = "InForce"
	// ConditionRolloutProgressing is true while a rollout advances; false when it is completed, paused or rolled back.
	ConditionRolloutProgressing ConditionType = "RolloutProgressing"
)

type ConditionStatus string

// States of a condition.
const (
	StatusTrue    ConditionStatus = "true"
	StatusFalse   ConditionStatus = "false"
	StatusUnknown ConditionStatus = "unknown"
)

// ConditionReason is the machine-readable cause of a condition's state.
type ConditionReason string

// Reasons of conditions.
const (
	// ReasonAccepted is set with Accepted=true.
	ReasonAccepted ConditionReason = "Accepted"
	// ReasonInvalid is set with Accepted=false: the service failed validation; the message lists the mistakes.
	ReasonInvalid ConditionReason = "Invalid"
	// ReasonAddressConflict is set with Accepted=false: an older service holds one of the addresses.
	ReasonAddressConflict ConditionReason = "AddressConflict"
	// ReasonUnreadable is set with Accepted=false: the stored value cannot be decoded as a service.
	ReasonUnreadable ConditionReason = "Unreadable"
	// ReasonAdopted is set with InForce=true.
	ReasonAdopted ConditionReason = "Adopted"
	// ReasonSpreading is set with InForce=false: some balancers have not adopted the revision yet.
	ReasonSpreading ConditionReason = "Spreading"
	// ReasonObserving is set with RolloutProgressing=true: a step's window has not ended or its gate is undecided.
	ReasonObserving ConditionReason = "Observing"
	// ReasonCompleted is set with RolloutProgressing=false: the new version receives every new flow.
	ReasonCompleted ConditionReason = "Completed"
	// ReasonRolledBack is set with RolloutProgressing=false: the gate failed and the old version receives every new flow.
	ReasonRolledBack ConditionReason = "RolledBack"
)

// Condition is one aspect of a service's status.
type Condition struct {
	Type   ConditionType   `json:"type"`
	Status ConditionStatus `json:"status"`
	// Reason is the machine-readable cause.
	Reason ConditionReason `json:"reason"`
	// Message describes the cause in one sentence.
	Message string `json:"message,omitempty"`
	// Time is when Status last changed.
	Time time.Time `json:"time"`
}
