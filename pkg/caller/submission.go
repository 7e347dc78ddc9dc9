package caller

import (
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// submission is the result of one HTTP exchange.
type submission struct {
	// err is set when there is no complete response; sent is then false only if no byte was sent.
	err  error
	sent bool

	status     int
	header     http.Header
	body       []byte
	run        refusal.Run
	submission refusal.Run
	reason     refusal.Reason
	retryAfter time.Duration
}

// isAnswered reports whether the target's complete response was received.
func (s submission) isAnswered() bool { return s.err == nil && s.run == "" }

// mayHaveRun reports whether this one submission may have run the work.
func (s submission) mayHaveRun() bool {
	if s.err != nil {
		return s.sent
	}
	return s.run == refusal.RunUnknown && s.submission != refusal.RunNo
}
