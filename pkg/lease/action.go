package lease

import "time"

type ActionKind uint8

// Kinds of action.
const (
	// ActionWait requests to call Step again at Action.At.
	ActionWait ActionKind = iota + 1
	// ActionRead requests to read the lease object.
	ActionRead
	// ActionCreate requests to create the lease object with Action.Record.
	ActionCreate
	// ActionUpdate requests to replace the lease object by Action.Record if its version is still Action.Version.
	ActionUpdate
)

// Action is what the caller of State.Step has to do next.
type Action struct {
	Kind ActionKind
	// At is set with ActionWait.
	At time.Time
	// Version is set with ActionUpdate.
	Version uint64
	// Record is set with ActionCreate and ActionUpdate.
	Record Record
}
