package resource

// Rejected is a service that is not accepted, and why.
type Rejected struct {
	// Service is the rejected service.
	Service VersionedService
	// Reason is ReasonUnreadable, ReasonInvalid or ReasonAddressConflict.
	Reason ConditionReason
	// Fields hold every mistake, or every address that another service holds.
	Fields []FieldError
	// Kept is the configuration that stays in force; nil when none was in force.
	Kept *ServiceConfig
}

// Outcome is the result of ValidateAll.
type Outcome struct {
	// Services are the configurations to put in force, sorted by name: the accepted ones, and for a rejected service
	// the one that was in force before.
	Services []ServiceConfig
	// Rejected are sorted by name.
	Rejected []Rejected
}
