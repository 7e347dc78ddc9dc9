package revision

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// stampedEra is the description of the era as a fenced object.
type stampedEra struct {
	resource.Era
}

// Grant implements lease.Stamp.
func (e *stampedEra) Grant() lease.Grant { return lease.Grant{Holder: e.Holder, Term: e.Term} }

// SetGrant implements lease.Stamp.
func (e *stampedEra) SetGrant(g lease.Grant) { e.Holder, e.Term = g.Holder, g.Term }

// describeEra tells all processes since when the object API is in its era, unless an earlier holder has.
func (s *session) describeEra(ctx context.Context) error {
	era := s.grant.Era()
	if era == 0 || s.described {
		return nil
	}
	object, err := lease.Claim[stampedEra](ctx, s.cfg.Store, resource.KindEra, resource.EraName, s.grant)
	if err != nil {
		return trace.Wrap(err, "claim the era")
	}
	if object.Value().Era.Era < era {
		if err := object.Write(ctx, stampedEra{resource.Era{Era: era, Since: s.restoredAt()}}); err != nil {
			return trace.Wrap(err, "describe era %d", era)
		}
	}
	s.described = true
	return nil
}

// restoredAt returns the time from which on nothing is lost any more; zero when nothing was accepted before that could be.
func (s *session) restoredAt() time.Time {
	if s.current.Number == 0 {
		return time.Time{}
	}
	return s.cfg.Clock.Now()
}
