package ctl

// Action says what was done to an object.
type Action string

// Actions.
const (
	// ActionCreated and ActionConfigured mean that the object was created or replaced.
	ActionCreated    Action = "created"
	ActionConfigured Action = "configured"
	// ActionUnchanged means that the object already had the content.
	ActionUnchanged Action = "unchanged"
	// ActionDeleted means that the object is gone.
	ActionDeleted Action = "deleted"
	// ActionInvalid means that the input has mistakes; nothing was written.
	ActionInvalid Action = "invalid"
	// ActionConflict means that another operator's change stays; nothing was written.
	ActionConflict Action = "conflict"
	// ActionFailed means that the object API did not take the call; nothing was written.
	ActionFailed Action = "failed"
	// ActionUnknown means that the write may have taken effect.
	ActionUnknown Action = "unknown"
)

// ApplyResult says what happened to one object.
type ApplyResult struct {
	// Name is the object's name.
	Name string `json:"name"`
	// Action says what was done, or with DryRun what would be done.
	Action Action `json:"action"`
	// Version is the object version after the call; the one before it with DryRun; 0 when the object does not exist.
	Version uint64 `json:"version"`
	// DryRun is true when nothing was written.
	DryRun bool `json:"dryRun,omitempty"`
	// Detail is one sentence with the reason, when there is one.
	Detail string `json:"detail,omitempty"`
}
