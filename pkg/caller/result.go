package caller

import (
	"net/http"
	"time"
)

// Result is the end of a request.
type Result struct {
	// Outcome says what became of the work.
	Outcome Outcome
	// Status, Header and Body are the answer of the target when Whole is true, else those of the last refusal, if any.
	Status int
	Header http.Header
	Body   []byte
	// Complete is true when Body is the whole answer of the target. OutcomeRan without it means that the answer is no
	// longer kept.
	Complete bool
	// Reason and Record are those of the last refusal.
	Reason string
	Record string
	// RetryAfter is when the last refusal asked the caller back; 0 when it did not.
	RetryAfter time.Duration
	// Submissions counts how often the request was sent.
	Submissions int
}
