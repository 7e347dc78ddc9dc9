package resource

// Evacuation is an operator's declaration that the targets of a data centre take no new work until it is deleted. The object is named
// like the data centre, and being there is what counts.
type Evacuation struct {
	// Reason is for those who read it later.
	Reason string `json:"reason,omitempty"`
}
