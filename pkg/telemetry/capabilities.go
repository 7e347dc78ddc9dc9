package telemetry

// capabilities declares that the Reporter reports and supports tags.
type capabilities struct{}

func (capabilities) Reporting() bool { return true }

func (capabilities) Tagging() bool { return true }
