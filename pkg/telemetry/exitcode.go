package telemetry

// Exit codes of the programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that the program failed while it ran.
	ExitFailure = 1
	// ExitUsage means a mistake on the command line or in the settings; nothing was started.
	ExitUsage = 2
)
