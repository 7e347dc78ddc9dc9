package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// ErrFenced means that a later term has claimed the object, or that the object API is in a later era than the caller's
// term, which has therefore ended.
var ErrFenced = errors.New("fenced by a later term")

// Stamp is implemented by the content of a fenced object, which stores the grant of its writer.
type Stamp interface {
	// Grant returns the grant under which the value was written.
	Grant() Grant
	// SetGrant stores the grant of the writer.
	SetGrant(Grant)
}

// Fenced is an object that a duty writes under a grant. Claim writes the grant's term into the object before any other
// write. Writes of a former holder have no effect from then on: they are conditional on a version from before the
// claim, or find a higher term. Fenced is not safe for concurrent use.
type Fenced[T any, P interface {
	*T
	Stamp
}] struct {
	store  objectapi.Store
	kind   objectapi.Kind
	name   string
	grant  Grant
	object objectapi.Object
	value  T
}

// Claim reads the object, checks its term and writes the grant's term into it, and creates the object when it does not
// exist. It returns ErrFenced when the object holds a later term or is of a later era.
func Claim[T any, P interface {
	*T
	Stamp
}](ctx context.Context, s objectapi.Store, kind objectapi.Kind, name string, g Grant) (*Fenced[T, P], error) {
	f := &Fenced[T, P]{store: s, kind: kind, name: name, grant: g}
	for {
		if err := f.read(ctx); err != nil {
			return nil, err
		}
		if f.claimed() {
			return f, nil
		}
		err := f.Write(ctx, f.value)
		if !errors.Is(err, objectapi.ErrConflict) {
			return f, err
		}
	}
}

// Value returns the content as last read or written.
func (f *Fenced[T, P]) Value() T { return f.value }

// Version returns the object version as last read or written.
func (f *Fenced[T, P]) Version() uint64 { return f.object.Version }

// Write replaces the content if the object was not written by others since the last read or write. Otherwise it reads
// the object again and returns ErrConflict, or ErrFenced when the writer was of a later term or the object API is in a
// later era. A lost response is resolved by reading back.
func (f *Fenced[T, P]) Write(ctx context.Context, v T) error {
	P(&v).SetGrant(f.grant)
	b, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "encode %s/%s", f.kind, f.name)
	}
	o, err := Put(ctx, f.store, objectapi.Object{Kind: f.kind, Name: f.name, Version: f.object.Version, Value: b})
	if err == nil {
		f.object = o
		f.value = v
		return f.grant.CheckEra(o.Version)
	}
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	if again := f.read(ctx); again != nil {
		return again
	}
	return err
}

// claimed reports whether the object already holds this grant, as after a restart of the duty within a term.
func (f *Fenced[T, P]) claimed() bool {
	return f.object.Version > 0 && P(&f.value).Grant() == f.grant
}

func (f *Fenced[T, P]) read(ctx context.Context) error {
	o, err := f.store.Get(ctx, f.kind, f.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		var none T
		f.object = objectapi.Object{}
		f.value = none
		return nil
	}
	if err != nil {
		return trace.Wrap(err, "read %s/%s", f.kind, f.name)
	}
	if err := f.grant.CheckEra(o.Version); err != nil {
		return trace.Wrap(err, "read %s/%s", f.kind, f.name)
	}
	var v T
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return trace.Wrap(err, "decode %s/%s", f.kind, f.name)
	}
	if P(&v).Grant().Term > f.grant.Term {
		return trace.Wrap(ErrFenced, "%s/%s holds term %d, not %d", f.kind, f.name, P(&v).Grant().Term, f.grant.Term)
	}
	f.object = o
	f.value = v
	return nil
}
