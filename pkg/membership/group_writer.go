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

// DefaultGroupInterval is the default of GroupWriter.Interval.
const DefaultGroupInterval = time.Second

// GroupLeaseName returns the name of the lease that a GroupWriter of the data centre holds.
func GroupLeaseName(dataCentre string) string {
	return "members-" + dataCentre
}

// GroupWriter is the duty that writes the live members of a data centre to the object API when their records have
// changed. Heartbeats cause no writes.
type GroupWriter struct {
	// Store holds the groups.
	Store objectapi.Store
	// Table holds the members. The stored members are merged into it before the first write, so that a new holder whose
	// table is still incomplete removes none of them.
	Table *Table
	// DataCentre is the data centre whose members are written.
	DataCentre string
	// Interval is the minimum time between two writes; 0 means DefaultGroupInterval.
	Interval time.Duration
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// Log receives failed writes.
	Log zerolog.Logger
}

// Duty writes the members until ctx ends, or until a holder with a later term has claimed the objects, in which case it
// returns lease.ErrFenced. It is a lease.Duty.
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

// groupPart is one object that the duty has claimed.
type groupPart = lease.Fenced[Group, *Group]

// groupSession is the state of the duty during one term.
type groupSession struct {
	writer *GroupWriter
	grant  lease.Grant
	clock  lease.Clock
	parts  []*groupPart
}

// write claims the objects that it needs and writes those whose content has changed. The parts are written in
// descending order, so that part 0 with the number of parts is the last.
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

// claim claims the parts below count that aren't claimed yet and merges their stored members into the table.
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

// members returns the live members of the data centre, sorted by ID.
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

// sameStored reports whether two records are stored alike; Unreachable isn't stored.
func sameStored(a, b Member) bool {
	a.Unreachable, b.Unreachable = false, false
	return a == b
}
