package revision

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// stampedEra is the era record as a fenced object.
type stampedEra struct {
	resource.Era
}

// Grant implements lease.Stamp.
func (e *stampedEra) Grant() lease.Grant { return lease.Grant{Holder: e.Holder, Term: e.Term} }

// SetGrant implements lease.Stamp.
func (e *stampedEra) SetGrant(g lease.Grant) { e.Holder, e.Term = g.Holder, g.Term }

// recordEra stores the start of the object API's current era for all processes, unless an earlier holder has done so.
func (s *session) recordEra(ctx context.Context) error {
	era := s.grant.Era()
	if era == 0 || s.eraRecorded {
		return nil
	}
	object, err := lease.Claim[stampedEra](ctx, s.cfg.Store, resource.KindEra, resource.EraName, s.grant)
	if err != nil {
		return trace.Wrap(err, "claim era object")
	}
	if object.Value().Era.Era < era {
		if err := object.Write(ctx, stampedEra{resource.Era{Era: era, Since: s.eraSince()}}); err != nil {
			return trace.Wrap(err, "record era %d", era)
		}
	}
	s.eraRecorded = true
	return nil
}

// eraSince returns the time from which accepted changes are retained again. It is zero when no revision was accepted
// before, so that none can have been lost.
func (s *session) eraSince() time.Time {
	if s.current.Number == 0 {
		return time.Time{}
	}
	return s.cfg.Clock.Now()
}
