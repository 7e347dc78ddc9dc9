package resource

import (
	"fmt"
	"time"
)

type RolloutState string

// States of a rollout.
const (
	RolloutProgressing RolloutState = "progressing"
	RolloutCompleted   RolloutState = "completed"
	RolloutRolledBack  RolloutState = "rolled-back"
)

// RolloutStatus is the progress of a rollout.
type RolloutStatus struct {
	// From and To are the versions of the rollout.
	From string `json:"from"`
	To   string `json:"to"`
	// Step is the 0-based index of the current step.
	Step int `json:"step"`
	// Weight is the share of the new version in effect, in percent.
	Weight uint32       `json:"weight"`
	State  RolloutState `json:"state"`
	// Since is when the current step began.
	Since time.Time `json:"since"`
	// Message describes the last decision of the gate in one sentence.
	Message string `json:"message,omitempty"`
}

// InForce counts the balancers that have adopted the accepted revision.
type InForce struct {
	// Adopted is the number of balancers that have adopted the revision.
	Adopted int `json:"adopted"`
	// Known is the number of known balancers.
	Known int `json:"known"`
	// AtLeast is set when there may be balancers that are not known: the reporter and other balancers have just started.
	AtLeast bool `json:"atLeast,omitempty"`
}

// String returns the count as, for example, "3 of 5" or "3 of at least 5".
func (f InForce) String() string {
	if f.AtLeast {
		return fmt.Sprintf("%d of at least %d", f.Adopted, f.Known)
	}
	return fmt.Sprintf("%d of %d", f.Adopted, f.Known)
}

// Complete reports whether every known balancer has adopted the revision and no other balancers are to be expected.
func (f InForce) Complete() bool {
	return !f.AtLeast && f.Known > 0 && f.Adopted >= f.Known
}

// ServiceStatus is the status of a Service, reported by the system. Its object has the service's name.
type ServiceStatus struct {
	Name string `json:"name"`
	// Term is the lease term under which the status was written.
	Term uint64 `json:"term,omitempty"`
	// ObservedVersion is the object version of the Service that was validated last.
	ObservedVersion uint64 `json:"observedVersion"`
	// AcceptedVersion is the object version of the Service that is part of the accepted revision; 0 when none is.
	AcceptedVersion uint64 `json:"acceptedVersion,omitempty"`
	// AcceptedRevision is the first revision that contains AcceptedVersion; 0 when none does.
	AcceptedRevision uint64 `json:"acceptedRevision,omitempty"`
	// InForce counts the balancers whose adopted revision is AcceptedRevision or higher.
	InForce InForce `json:"inForce"`
	// Rollout is the state of the rollout; nil when there is none.
	Rollout *RolloutStatus `json:"rollout,omitempty"`
	// Conditions has at most one entry of each type.
	Conditions []Condition `json:"conditions,omitempty"`
}

// Condition returns the condition of a type; false when it was never set.
func (s *ServiceStatus) Condition(t ConditionType) (Condition, bool) {
	for _, c := range s.Conditions {
		if c.Type == t {
			return c, true
		}
	}
	return Condition{}, false
}

// SetCondition sets the condition of c's type. When the status is unchanged, the time of the previous condition is kept.
func (s *ServiceStatus) SetCondition(c Condition) {
	for i, old := range s.Conditions {
		if old.Type != c.Type {
			continue
		}
		if old.Status == c.Status {
			c.Time = old.Time
		}
		s.Conditions[i] = c
		return
	}
	s.Conditions = append(s.Conditions, c)
}
