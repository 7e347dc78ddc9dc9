package revision

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Load reads the revision that a head names, and verifies its checksum and number. For a head without a revision it
// returns the empty revision.
func Load(ctx context.Context, s objectapi.Store, h resource.Head) (resource.Revision, error) {
	if h.Revision == 0 {
		return resource.Revision{}, nil
	}
	first, err := loadPart(ctx, s, h, 0)
	if err != nil {
		return resource.Revision{}, err
	}
	b := first.Data
	for i := 1; i < first.Parts; i++ {
		p, err := loadPart(ctx, s, h, i)
		if err != nil {
			return resource.Revision{}, err
		}
		b = append(b, p.Data...)
	}
	if xxhash.Sum64(b) != first.Sum {
		return resource.Revision{}, trace.BadParameter("%s does not match its checksum", h.Object)
	}
	r, err := Decode(b)
	if err == nil && r.Number != h.Revision {
		err = trace.BadParameter("%s holds revision %d", h.Object, r.Number)
	}
	return r, err
}

func loadPart(ctx context.Context, s objectapi.Store, h resource.Head, index int) (part, error) {
	o, err := s.Get(ctx, resource.KindRevision, partName(h.Object, index))
	if err != nil {
		return part{}, trace.Wrap(err, "read revision %d", h.Revision)
	}
	return readPart(o, h.Revision)
}

// save stores the parts of a revision and returns the object name for the head. Creating the parts is idempotent, so
// that a save can be repeated after a lost response.
func save(ctx context.Context, s objectapi.Store, r resource.Revision, partSize int) (string, error) {
	b, err := Encode(r)
	if err != nil {
		return "", err
	}
	sum := xxhash.Sum64(b)
	values, err := split(r.Number, sum, b, partSize)
	if err != nil {
		return "", err
	}
	name := objectName(r.Number, sum)
	for i, v := range values {
		if err := lease.CreateIdempotent(ctx, s, resource.KindRevision, partName(name, i), v); err != nil {
			return "", trace.Wrap(err, "store revision %d", r.Number)
		}
	}
	return name, nil
}

// collect deletes the objects of revisions lower than below and returns the number deleted. The head only rises, so a
// former lease holder cannot delete a revision that is still needed.
func collect(ctx context.Context, s objectapi.Store, below uint64) (int, error) {
	list, _, err := s.List(ctx, resource.KindRevision)
	if err != nil {
		return 0, trace.Wrap(err, "list revisions")
	}
	deleted := 0
	for _, o := range list {
		if o.Name >= resource.RevisionName(below) {
			continue
		}
		err := s.Delete(ctx, o.Kind, o.Name, o.Version)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) && !errors.Is(err, objectapi.ErrOutcomeUnknown) {
			return deleted, trace.Wrap(err, "delete %s", o.Name)
		}
		deleted++
	}
	return deleted, nil
}
