package request

import (
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// outcome is the end of a submission.
type outcome struct {
	// refusal is set when the agent refuses.
	refusal *Refusal
	// relayed is a refusal that a peer has recorded; it is passed on as it is.
	relayed *relayedResponse
	// run is set with relayed.
	run refusal.Run
	// status is the HTTP status of a target's answer.
	status int
	// truncated is true when the caller doesn't have the whole answer.
	truncated bool
	// incomplete is true when the target did not give its whole answer.
	incomplete bool
}

func refused(f *Refusal) *outcome { return &outcome{refusal: f} }

// runState returns what the outcome says about the work; empty for an answer.
func (o *outcome) runState() refusal.Run {
	switch {
	case o.refusal != nil:
		return o.refusal.Run
	case o.relayed != nil:
		return o.run
	case o.incomplete:
		return refusal.RunUnknown
	}
	return ""
}
