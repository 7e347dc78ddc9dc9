package resource

import (
	"fmt"
	"time"
)

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	RolloutProgressing RolloutState = "progressing"
	RolloutCompleted   RolloutState = "completed"
	RolloutRolledBack  RolloutState = "rolled-back"
)

// RolloutStatus says how far a rollout has come.
type RolloutStatus struct {
	// From and To are the versions of the rollout.
	From string `json:"from"`
	To   string `json:"to"`
	// Step is the index of the current step, from 0.
	Step int `json:"step"`
	// Weight is the share of the new version in percent that is in effect.
	Weight uint32 `json:"weight"`
	// State is the state of the rollout.
	State RolloutState `json:"state"`
	// Since is when the current step began.
	Since time.Time `json:"since"`
	// Message is the last decision of the gate in one sentence.
	Message string `json:"message,omitempty"`
}

// InForce counts the balancers that have adopted the accepted revision.
type InForce struct {
	// Adopted is the number of balancers that have adopted it.
	Adopted int `json:"adopted"`
	// Known is the number of balancers that are known.
	Known int `json:"known"`
}

// String returns the count as, for example, "3 of 5".
func (f InForce) String() string {
	return fmt.Sprintf("%d of %d", f.Adopted, f.Known)
}

// Complete reports whether every known balancer has adopted the revision.
func (f InForce) Complete() bool {
	return f.Known > 0 && f.Adopted >= f.Known
}

// ServiceStatus is what the system says about a Service. Its object has the service's name.
type ServiceStatus struct {
	// Name is the service's name.
	Name string `json:"name"`
	// Term is the lease term under which the status was written.
	Term uint64 `json:"term,omitempty"`
	// ObservedVersion is the object version of the Service that was judged last.
	ObservedVersion uint64 `json:"observedVersion"`
	// AcceptedVersion is the object version of the Service that is part of the accepted revision; 0 when none is.
	AcceptedVersion uint64 `json:"acceptedVersion,omitempty"`
	// AcceptedRevision is the first revision that holds AcceptedVersion; 0 when none does.
	AcceptedRevision uint64 `json:"acceptedRevision,omitempty"`
	// InForce counts the balancers whose adopted revision is AcceptedRevision or higher.
	InForce InForce `json:"inForce"`
	// Rollout is the state of the rollout; nil when there is none.
	Rollout *RolloutStatus `json:"rollout,omitempty"`
	// Conditions hold at most one of each type.
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

// SetCondition sets the condition of c's type. The time of the earlier condition is kept when its status is the same.
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
