package membership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// DefaultGroupInterval is the shortest time between two writes of a data centre's members.
const DefaultGroupInterval = time.Second

// GroupLeaseName returns the name of the lease of the duty that writes the members of a data centre.
func GroupLeaseName(dataCentre string) string {
	return "members-" + dataCentre
}

// GroupWriter is the duty that writes the live members of a data centre to the object API, when they have changed. No
// heartbeat reaches the store.
type GroupWriter struct {
	// Store keeps the groups.
	Store objectapi.Store
	// Table holds the members. It takes what is stored already, so that a new holder that knows few members drops none.
	Table *Table
	// DataCentre is the data centre whose members are written.
	DataCentre string
	// Interval is the shortest time between two writes; 0 means DefaultGroupInterval.
	Interval time.Duration
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// Log takes failures.
	Log zerolog.Logger
}

// Duty writes until ctx ends or a later term has claimed the data centre. It is a lease.Duty.
func (w *GroupWriter) Duty(ctx context.Context, grant lease.Grant) error {
	clock := w.Clock
	if clock == nil {
		clock = lease.SystemClock{}
	}
	changes, cancel := w.Table.Subscribe()
	defer cancel()
	s := &groupSession{writer: w, grant: grant, clock: clock}
	for ctx.Err() == nil {
		err := s.write(ctx)
		if errors.Is(err, lease.ErrFenced) {
			return err
		}
		if sleepErr := clock.Sleep(ctx, cmp.Or(w.Interval, DefaultGroupInterval)); sleepErr != nil {
			return nil
		}
		if err != nil {
			w.Log.Warn().Err(err).Str("op", "write members").Str("peer", w.DataCentre).Send()
			continue
		}
		select {
		case <-ctx.Done():
		case <-changes:
		}
	}
	return nil
}

// groupPart is one claimed object.
type groupPart = lease.Fenced[Group, *Group]

// groupSession is the duty during one term.
type groupSession struct {
	writer *GroupWriter
	grant  lease.Grant
	clock  lease.Clock
	parts  []*groupPart
}

// write claims the objects that are needed and writes those whose content has changed.
func (s *groupSession) write(ctx context.Context) error {
	if err := s.claim(ctx, 1); err != nil {
		return err
	}
	if err := s.claim(ctx, s.parts[0].Value().Parts); err != nil {
		return err
	}
	groups, err := splitGroup(s.writer.DataCentre, s.members(), maxGroupBytes)
	if err != nil {
		return err
	}
	if err := s.claim(ctx, len(groups)); err != nil {
		return err
	}
	for i := len(groups) - 1; i >= 0; i-- {
		if err := s.writePart(ctx, s.parts[i], groups[i]); err != nil {
			return err
		}
	}
	return nil
}

// claim claims the first count parts and takes the members that they hold.
func (s *groupSession) claim(ctx context.Context, count int) error {
	for len(s.parts) < count {
		name := groupName(s.writer.DataCentre, len(s.parts))
		part, err := lease.Claim[Group](ctx, s.writer.Store, resource.KindMembers, name, s.grant)
		if err != nil {
			return err
		}
		for _, m := range part.Value().Members {
			s.writer.Table.Merge(m, s.clock.Now())
		}
		s.parts = append(s.parts, part)
	}
	return nil
}

// members returns the live members of the data centre.
func (s *groupSession) members() []Member {
	return slices.DeleteFunc(s.writer.Table.Members(), func(m Member) bool {
		return !m.Live() || m.DataCentre != s.writer.DataCentre
	})
}

func (s *groupSession) writePart(ctx context.Context, part *groupPart, g Group) error {
	g.SetGrant(s.grant)
	stored := part.Value()
	if sameGroup(stored, g) {
		return nil
	}
	return part.Write(ctx, g)
}

func sameGroup(a, b Group) bool {
	return compareGroups(a, b) == 0 && a.Parts == b.Parts && slices.EqualFunc(a.Members, b.Members, sameStored)
}

// sameStored compares what is stored of a member.
func sameStored(a, b Member) bool {
	a.Unreachable, b.Unreachable = false, false
	return a == b
}
