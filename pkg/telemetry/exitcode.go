package telemetry

// Exit codes of the programs.
const (
	// ExitOK means that the program did what it was asked to.
	ExitOK = 0
	// ExitFailure means that it failed while it ran.
	ExitFailure = 1
	// ExitUsage means a mistake on the command line or in the settings; nothing was started.
	ExitUsage = 2
)
