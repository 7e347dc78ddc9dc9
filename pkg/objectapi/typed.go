package objectapi

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Typed is an object whose value is decoded from JSON.
type Typed[T any] struct {
	Kind    Kind
	Name    string
	Version uint64
	Value   T
}

// TypedList is the decoded result of a list.
type TypedList[T any] struct {
	// Items are the objects that could be decoded.
	Items []Typed[T]
	// Malformed has one error for each object that could not be decoded, so that it does not hide the others.
	Malformed []error
	// Version is the store version of the snapshot.
	Version uint64
}

// Decode decodes the JSON value of an object. It returns ErrInvalid when that fails.
func Decode[T any](o Object) (Typed[T], error) {
	t := Typed[T]{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if err := json.Unmarshal(o.Value, &t.Value); err != nil {
		return t, trace.Wrap(&CallError{Op: OpGet, Kind: o.Kind, Name: o.Name, Peer: "value", Err: ErrInvalid, Cause: err})
	}
	return t, nil
}

// Encode returns an object with the value as JSON, or ErrInvalid when the value cannot be encoded.
func Encode[T any](t Typed[T]) (Object, error) {
	b, err := json.Marshal(t.Value)
	if err != nil {
		return Object{}, NewCallError(OpUpdate, t.Kind, t.Name, "value", ErrInvalid, err)
	}
	return Object{Kind: t.Kind, Name: t.Name, Version: t.Version, Value: b}, nil
}

// GetTyped gets an object and decodes it.
func GetTyped[T any](ctx context.Context, s Store, kind Kind, name string) (Typed[T], error) {
	o, err := s.Get(ctx, kind, name)
	if err != nil {
		return Typed[T]{}, err
	}
	return Decode[T](o)
}

// ListTyped lists a kind and decodes its objects.
func ListTyped[T any](ctx context.Context, s Store, kind Kind) (TypedList[T], error) {
	items, version, err := s.List(ctx, kind)
	if err != nil {
		return TypedList[T]{}, err
	}
	out := TypedList[T]{Version: version}
	for _, o := range items {
		t, err := Decode[T](o)
		if err != nil {
			out.Malformed = append(out.Malformed, err)
			continue
		}
		out.Items = append(out.Items, t)
	}
	return out, nil
}

// CreateTyped creates an object from a value and returns it with its version.
func CreateTyped[T any](ctx context.Context, s Store, kind Kind, name string, v T) (Typed[T], error) {
	t := Typed[T]{Kind: kind, Name: name, Value: v}
	o, err := Encode(t)
	if err != nil {
		return t, err
	}
	o, err = s.Create(ctx, kind, name, o.Value)
	t.Version = o.Version
	return t, err
}

// UpdateTyped replaces the value if the stored version is still t.Version, and returns it with the new version.
func UpdateTyped[T any](ctx context.Context, s Store, t Typed[T]) (Typed[T], error) {
	o, err := Encode(t)
	if err != nil {
		return t, err
	}
	o, err = s.Update(ctx, o)
	if err != nil {
		return t, err
	}
	t.Version = o.Version
	return t, nil
}
