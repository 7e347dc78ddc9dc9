package revision

import (
	"fmt"
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// evaluation is the input for the status of one service.
type evaluation struct {
	result  Result
	rollout *resource.RolloutStatus
	// current is the number of the last accepted revision.
	current uint64
}

// matches reports whether the evaluation is the same as an earlier one. Only the earlier one may have the revision that
// introduced the accepted version: later compilations leave it 0.
func (j evaluation) matches(old *evaluation) bool {
	r := j.result
	if r.Revision == 0 && r.ConfigVersion == old.result.ConfigVersion {
		r.Revision = old.result.Revision
	}
	return r == old.result && sameRollout(j.rollout, old.rollout)
}

func sameRollout(a, b *resource.RolloutStatus) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// acceptedRevision returns the revision that introduced the accepted version. When that is not known, it returns the
// current revision, which contains the version too.
func (j evaluation) acceptedRevision(stored resource.ServiceStatus) uint64 {
	r := j.result
	if r.AcceptedVersion == 0 {
		return 0
	}
	if r.Revision != 0 {
		return r.Revision
	}
	same := stored.AcceptedVersion == r.AcceptedVersion || stored.AcceptedVersion == r.ConfigVersion
	if same && stored.AcceptedRevision != 0 {
		return stored.AcceptedRevision
	}
	return j.current
}

// describe returns the new status, based on the stored one.
func (j evaluation) describe(stored resource.ServiceStatus, acks Acks, now time.Time) resource.ServiceStatus {
	r := j.result
	next := stored
	next.Conditions = append([]resource.Condition(nil), stored.Conditions...)
	next.Name = r.Name
	next.ObservedVersion = r.ObservedVersion
	next.AcceptedRevision = j.acceptedRevision(stored)
	next.AcceptedVersion = r.AcceptedVersion
	next.Rollout = j.rollout
	next.InForce = count(next.AcceptedRevision, stored, acks)
	next.SetCondition(accepted(r, now))
	next.SetCondition(inForce(next, now))
	if j.rollout != nil {
		next.SetCondition(progressing(*j.rollout, now))
	}
	return next
}

// count returns the in-force count of a revision. A complete count is kept, so that balancers which join later cause no
// writes for services in force.
func count(revision uint64, stored resource.ServiceStatus, acks Acks) resource.InForce {
	if revision == stored.AcceptedRevision && stored.InForce.Complete() {
		return stored.InForce
	}
	if revision == 0 {
		return resource.InForce{}
	}
	return acks.InForce(revision)
}

func accepted(r Result, now time.Time) resource.Condition {
	c := resource.Condition{
		Type:    resource.ConditionAccepted,
		Status:  resource.StatusFalse,
		Reason:  r.Reason,
		Message: r.Message,
		Time:    now,
	}
	if r.Accepted() {
		c.Status = resource.StatusTrue
	}
	return c
}

func inForce(s resource.ServiceStatus, now time.Time) resource.Condition {
	c := resource.Condition{
		Type:    resource.ConditionInForce,
		Status:  resource.StatusFalse,
		Reason:  resource.ReasonSpreading,
		Message: fmt.Sprintf("revision %d is in force on %s balancers", s.AcceptedRevision, s.InForce),
		Time:    now,
	}
	if s.AcceptedRevision == 0 {
		c.Message = "no version of the service is accepted"
	}
	if s.InForce.Complete() {
		c.Status = resource.StatusTrue
		c.Reason = resource.ReasonAdopted
	}
	return c
}

func progressing(s resource.RolloutStatus, now time.Time) resource.Condition {
	c := resource.Condition{
		Type:    resource.ConditionRolloutProgressing,
		Status:  resource.StatusFalse,
		Message: s.Message,
		Time:    now,
	}
	switch s.State {
	case resource.RolloutCompleted:
		c.Reason = resource.ReasonCompleted
	case resource.RolloutRolledBack:
		c.Reason = resource.ReasonRolledBack
	default:
		c.Status = resource.StatusTrue
		c.Reason = resource.ReasonObserving
	}
	return c
}
