package objectapi

import "context"

// Kind is the kind of an object.
type Kind string

// Object is one stored object.
type Object struct {
	// Kind and Name identify the object.
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version rises with every change in the store, also when the store came back from an older copy: see MakeVersion. It is 0 for
	// an object that does not exist.
	Version uint64 `json:"version"`
	// Value is the content, at most MaxValueSize bytes.
	Value []byte `json:"value"`
}

// MaxValueSize is the highest number of bytes of a value.
const MaxValueSize = 1 << 20

// EventType says what happened to an object.
type EventType string

// Event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Store is the narrow interface to the object API. Every method returns one of the errors of this package:
// ErrConflict, ErrNotFound, ErrExpired, ErrUnavailable or ErrOutcomeUnknown, wrapped with the step and the peer. In a later era
// a condition on an earlier version never holds, and a watch from one has expired. When a conditional write met a later era that was not
// known before, it is ErrOutcomeUnknown: it may have replaced an object that only had the same revision.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the store version of the snapshot, from which Watch may go on.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create stores a new object, or returns ErrConflict when it exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error)
	// Update replaces the value when the stored version still is o.Version, or returns ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object when its version is version, or returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, kind Kind, name string, version uint64) error
	// Watch waits for changes of a kind after version from. It returns the events in order of version and the version
	// to go on from; no events when the wait time of the store passed; ErrExpired when from is too old.
	Watch(ctx context.Context, kind Kind, from uint64) ([]Event, uint64, error)
}
