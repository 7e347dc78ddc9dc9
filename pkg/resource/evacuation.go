package resource

// Evacuation declares that the targets of a data centre take no new work until it is deleted. The object has the name of
// the data centre; it takes effect by existing.
type Evacuation struct {
	// Reason is a free-form note for other operators.
	Reason string `json:"reason,omitempty"`
}
