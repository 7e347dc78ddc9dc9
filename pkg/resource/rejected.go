package resource

// Rejected is a service that was not accepted, with the reason.
type Rejected struct {
	Service VersionedService
	// Reason is ReasonUnreadable, ReasonInvalid or ReasonAddressConflict.
	Reason ConditionReason
	// Fields has every mistake, or every address that belongs to another service.
	Fields []FieldError
	// Kept is the configuration that remains in force; nil when none was in force.
	Kept *ServiceConfig
}

// Outcome is the result of ValidateAll.
type Outcome struct {
	// Services are the configurations to put in force, sorted by name: the accepted ones, and for each rejected service
	// the one that was in force before, if any.
	Services []ServiceConfig
	// Rejected are sorted by name.
	Rejected []Rejected
}
