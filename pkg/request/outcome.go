package request

import (
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// outcome is the result of a submission.
type outcome struct {
	// refusal is set when this agent refuses the request.
	refusal *Refusal
	// relayed is a refusal that a peer has recorded and that is forwarded unchanged.
	relayed *relayedResponse
	// run is the run state of relayed.
	run refusal.Run
	// status is the HTTP status of the target's response.
	status int
	// truncated is true when the caller did not get the complete response.
	truncated bool
	// incomplete is true when the target did not send its complete response.
	incomplete bool
}

func refused(f *Refusal) *outcome { return &outcome{refusal: f} }

// runState returns the run state that the outcome implies; empty when the target sent its complete response.
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
