package request

// hopKind is what an agent requests of another agent.
type hopKind string

const (
	// hopSteer asks the peer to run a request if a slot is free now.
	hopSteer hopKind = "steer"
	// hopTicket submits a request to the issuer of its ticket.
	hopTicket hopKind = "ticket"
	// hopIssue asks the peer to issue tickets.
	hopIssue hopKind = "issue"
	// hopCancel forwards a caller's cancel or status query to the ticket's issuer.
	hopCancel hopKind = "cancel"
	// hopLoad asks only for the peer's load.
	hopLoad hopKind = "load"
)

// maxHops allows for the caller's agent, the issuer, and the agent that the issuer steers to.
const maxHops = 2
