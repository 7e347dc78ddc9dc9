package request

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// ProblemType is the media type of a problem document (RFC 9457).
const ProblemType = "application/problem+json"

const problemURI = "https://auburnwood.example/problems/"

// Problem is the document by which a request is refused (RFC 9457).
type Problem struct {
	// Type is a URI that ends with the reason.
	Type string `json:"type"`
	// Title is the reason in words.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says what decided.
	Detail string `json:"detail,omitempty"`
	// Instance is the ID of the refusal record.
	Instance string `json:"instance"`
	// Reason says why.
	Reason refusal.Reason `json:"reason"`
	// Run says whether the work was run, "no" or "unknown".
	Run refusal.Run `json:"run"`
	// Submission is "no" when run is "unknown" but this submission itself was not run.
	Submission refusal.Run `json:"submission,omitempty"`
	// DecidedBy names the agent, or the target that shed the request.
	DecidedBy string `json:"decidedBy"`
	// RetryAfterMS is when to come back, in milliseconds; 0 when it is of no use.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
}

// Refusal is a decision not to run a request, or not to know whether it ran.
type Refusal struct {
	// Reason says why.
	Reason refusal.Reason
	// Status is the HTTP status.
	Status int
	// Detail says what decided, in one sentence.
	Detail string
	// Run says whether the work was run.
	Run refusal.Run
	// Submission is refusal.RunNo when Run is unknown but this submission was not run.
	Submission refusal.Run
	// DecidedBy is empty for the agent itself.
	DecidedBy string
	// RetryAfter is when to come back; 0 when it is of no use.
	RetryAfter time.Duration
	// Request is the ticket or key; it may be empty.
	Request string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }

// refuse records the refusal and answers with its problem document.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, f *Refusal) {
	by := f.DecidedBy
	if by == "" {
		by = s.o.Agent
	}
	body, err := encodeProblem(w.Header(), f, by, s.record(r, f, by))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(body)
}

// encodeProblem sets the headers of a refusal and returns its document.
func encodeProblem(h http.Header, f *Refusal, by, record string) ([]byte, error) {
	p := Problem{
		Type: problemURI + string(f.Reason), Title: string(f.Reason), Status: f.Status, Detail: f.Detail, Instance: record,
		Reason: f.Reason, Run: f.Run, Submission: f.Submission, DecidedBy: by, RetryAfterMS: f.RetryAfter.Milliseconds(),
	}
	body, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	h.Set("Content-Type", ProblemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, string(f.Run))
	h.Set(HeaderReason, string(f.Reason))
	h.Set(HeaderRecord, record)
	if f.Submission != "" {
		h.Set(HeaderSubmission, string(f.Submission))
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(f.RetryAfter), 10))
	}
	return body, nil
}

// wholeSeconds rounds up, as Retry-After has no parts of a second.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// refuseEarly refuses before the ticket or key was looked at: an earlier submission of it may have run.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, f *Refusal) {
	if f.Run == refusal.RunNo && (r.Header.Get(HeaderTicket) != "" || attemptOf(r) > 1) {
		f.Run = refusal.RunUnknown
		f.Submission = refusal.RunNo
	}
	s.refuse(w, r, f)
}

func (s *Server) record(r *http.Request, f *Refusal, by string) string {
	return s.recordFlow(callerOf(r.Context()), f, by)
}

// recordFlow records a refusal on a caller's connection, and returns the record's ID.
func (s *Server) recordFlow(key flow.Key, f *Refusal, by string) string {
	id := s.o.Recorder.Record(refusal.Record{
		Time: s.o.Now(), Count: 1, Service: s.o.Service, Caller: key.Source, Destination: key.Destination,
		Flow: key.Hash(), Request: f.Request, DecidedBy: by, Revision: s.o.Revision(),
		Reason: f.Reason, Detail: f.Detail, Run: f.Run,
	})
	s.o.Log.Info().Str("op", "refuse").Str("service", s.o.Service).Str("reason", string(f.Reason)).
		Str("run", string(f.Run)).Str("by", by).Str("record", id).Stringer("caller", key.Source).Msg("request refused")
	s.o.Metrics.Tagged(map[string]string{"reason": string(f.Reason)}).Counter("request_refused").Inc(1)
	return id
}
