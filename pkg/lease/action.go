package lease

import "time"

// ActionKind says what the caller of State.Step has to do next.
type ActionKind uint8

// Kinds of action.
const (
	// ActionWait asks to call Step again at Action.At.
	ActionWait ActionKind = iota + 1
	// ActionRead asks to read the lease object.
	ActionRead
	// ActionCreate asks to create the lease object with Action.Record.
	ActionCreate
	// ActionUpdate asks to replace the lease object by Action.Record when its version still is Action.Version.
	ActionUpdate
)

// Action is one thing that the caller of State.Step has to do.
type Action struct {
	Kind ActionKind
	// At is set with ActionWait.
	At time.Time
	// Version is set with ActionUpdate.
	Version uint64
	// Record is set with ActionCreate and ActionUpdate.
	Record Record
}
