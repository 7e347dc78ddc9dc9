package ctl

// Action is what was done to an object.
type Action string

// Actions.
const (
	// ActionCreated and ActionConfigured mean that the object was created or replaced.
	ActionCreated    Action = "created"
	ActionConfigured Action = "configured"
	// ActionUnchanged means that the object already had the same content.
	ActionUnchanged Action = "unchanged"
	// ActionDeleted means that the object no longer exists.
	ActionDeleted Action = "deleted"
	// ActionInvalid means that the input has mistakes; nothing was written.
	ActionInvalid Action = "invalid"
	// ActionConflict means that another operator's change was kept; nothing was written.
	ActionConflict Action = "conflict"
	// ActionFailed means that a call to the object API failed; nothing was written.
	ActionFailed Action = "failed"
	// ActionUnknown means that the write may have taken effect.
	ActionUnknown Action = "unknown"
)

// ApplyResult is the result for one object.
type ApplyResult struct {
	Name string `json:"name"`
	// Action is what was done, or with DryRun what would be done.
	Action Action `json:"action"`
	// Version is the object version after the call, or with DryRun the one before it; 0 when the object does not exist.
	Version uint64 `json:"version"`
	// DryRun is true when nothing was written.
	DryRun bool `json:"dryRun,omitempty"`
	// Detail explains the result in one sentence; may be empty.
	Detail string `json:"detail,omitempty"`
}
