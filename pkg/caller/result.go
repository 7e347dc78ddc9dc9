package caller

import (
	"net/http"
	"time"
)

type Result struct {
	// Outcome is whether the work ran.
	Outcome Outcome
	// Status, Header and Body are the target's response when Complete is true, otherwise those of the last refusal, if
	// any.
	Status int
	Header http.Header
	Body   []byte
	// Complete is true when Body is the target's complete response. OutcomeRan without it means that the response is no
	// longer cached.
	Complete bool
	// Reason and Record are those of the last refusal.
	Reason string
	Record string
	// RetryAfter is the retry time of the last refusal; 0 when it named none.
	RetryAfter time.Duration
	// Submissions is the number of times that the request was sent.
	Submissions int
}
