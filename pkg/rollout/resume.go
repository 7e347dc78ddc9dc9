package rollout

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

const (
	lostStep     = "the object API lost the last steps; the share in force tells which"
	lostRollback = "the object API lost the rollback; the share in force tells of it"
)

// Resume returns the state from which a rollout continues when the object API may have lost its last steps; shares are
// those in force. A version that was rolled back gets no flows again, and no step is repeated.
func Resume(r resource.Rollout, s resource.RolloutStatus, shares []resource.Share, now time.Time) resource.RolloutStatus {
	if s.From != r.From || s.To != r.To {
		s = Initial(r)
	}
	weight, known := weightOf(r, shares)
	switch {
	case !known || weight == s.Weight:
		return s
	case weight == 0:
		return rollBack(s, now, lostRollback)
	}
	for i, step := range r.Steps {
		if step.Weight == weight {
			return enterStep(r, Initial(r), i, now, lostStep)
		}
	}
	return s
}

// weightOf returns the new version's share in force, and false when the shares are not those of the rollout.
func weightOf(r resource.Rollout, shares []resource.Share) (uint32, bool) {
	if len(shares) != 2 || shares[0].Version != r.From || shares[1].Version != r.To {
		return 0, false
	}
	return shares[1].Weight, true
}
