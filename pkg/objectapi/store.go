package objectapi

import "context"

// Kind is the kind of an object.
type Kind string

// Object is one stored object.
type Object struct {
	// Kind and Name identify the object.
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version rises with every change in the store, even across a restore from an older copy: see MakeVersion. It is 0
	// for an object that does not exist.
	Version uint64 `json:"version"`
	// Value is the content, of at most MaxValueSize bytes.
	Value []byte `json:"value"`
}

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// EventType is the type of a change.
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

// Store is the interface to the object API. Its methods return the errors of this package: ErrConflict, ErrNotFound,
// ErrExpired, ErrUnavailable, ErrOutcomeUnknown or ErrInvalid, wrapped with the operation and the peer.
//
// In a later era a condition on a version of an earlier era never holds, and a watch from one has expired. A conditional
// write that is the first call to reach a later era returns ErrOutcomeUnknown: it may have replaced another object that
// had the same revision.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the store version of the snapshot, from which Watch can continue.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create stores a new object, or returns ErrConflict when it exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version is still o.Version, or returns ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its version is version, or returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, kind Kind, name string, version uint64) error
	// Watch waits for changes of a kind after version from. It returns the events in order of version, none when the
	// store's wait time has passed, and the version to continue from. It returns ErrExpired when from is too old.
	Watch(ctx context.Context, kind Kind, from uint64) ([]Event, uint64, error)
}
