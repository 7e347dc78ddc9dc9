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

// Problem is the problem document of a refused request (RFC 9457).
type Problem struct {
	// Type is a URI that ends with the reason.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail says what decided the refusal.
	Detail string `json:"detail,omitempty"`
	// Instance is the ID of the refusal record.
	Instance string         `json:"instance"`
	Reason   refusal.Reason `json:"reason"`
	// Run is "no" or "unknown".
	Run refusal.Run `json:"run"`
	// Submission is "no" when Run is "unknown" but this submission itself was not run.
	Submission refusal.Run `json:"submission,omitempty"`
	// DecidedBy names the agent, or the target that shed the request.
	DecidedBy string `json:"decidedBy"`
	// RetryAfterMS is the time in milliseconds after which a retry may succeed; 0 when a retry is of no use.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
}

// Refusal is the decision not to run a request, or the report that it is unknown whether it ran.
type Refusal struct {
	Reason refusal.Reason
	Status int
	// Detail says in one sentence what decided the refusal.
	Detail string
	Run    refusal.Run
	// Submission is refusal.RunNo when Run is unknown but this submission itself was not run.
	Submission refusal.Run
	// DecidedBy is the target that shed the request; empty for this agent.
	DecidedBy string
	// RetryAfter is the time after which a retry may succeed; 0 when a retry is of no use.
	RetryAfter time.Duration
	// Request is the ticket ID or the claim's object name; it may be empty.
	Request string
}

func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }

// refuse records the refusal and responds with its problem document.
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

// encodeProblem sets the headers of a refusal and returns its problem document.
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

// wholeSeconds rounds up, because Retry-After is in whole seconds.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// refuseEarly refuses a request before its ticket or key was checked: an earlier submission of it may have run.
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
