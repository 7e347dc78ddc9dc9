package telemetry

// capabilities says that the Reporter reports with tags.
type capabilities struct{}

// Reporting implements tally.Capabilities.
func (capabilities) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (capabilities) Tagging() bool { return true }
