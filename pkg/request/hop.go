package request

// hopKind says what one agent wants of another.
type hopKind string

// Kinds of hops.
const (
	// hopSteer asks to run a request if a slot is free now.
	hopSteer hopKind = "steer"
	// hopTicket submits a request with a ticket to the issuer.
	hopTicket hopKind = "ticket"
	// hopIssue asks for tickets of the receiver.
	hopIssue hopKind = "issue"
	// hopCancel passes a caller's cancel or question to the issuer.
	hopCancel hopKind = "cancel"
	// hopLoad asks for the load only.
	hopLoad hopKind = "load"
)

// maxHops is enough for caller's agent, issuer, and the agent that the issuer steers to.
const maxHops = 2
