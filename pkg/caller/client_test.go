package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
)

// scriptedTransport responds to submissions with its steps in order, and to ticket requests with new tickets.
type scriptedTransport struct {
	steps          []transportStep
	sent           []string
	issued         int
	cancels        int
	cancelSucceeds bool
}

// transportStep is the result of one submission.
type transportStep struct {
	run        refusal.Run
	submission refusal.Run
	reason     refusal.Reason
	// broken and refused are errors after and before the request was sent.
	broken, refused bool
}

var errBroken = errors.New("connection lost")

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Path, "/.well-known/") {
		return s.wellKnown(r), nil
	}
	s.sent = append(s.sent, r.Header.Get(request.HeaderTicket))
	step := s.steps[min(len(s.sent), len(s.steps))-1]
	if step.refused {
		return nil, errBroken
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if step.broken {
		return nil, errBroken
	}
	h := http.Header{}
	h.Set(request.HeaderRun, string(step.run))
	h.Set(request.HeaderSubmission, string(step.submission))
	h.Set(request.HeaderReason, string(step.reason))
	status := 200
	if step.run != "" {
		status = 503
	}
	return answer(status, h, "body"), nil
}

func answer(status int, h http.Header, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

func (s *scriptedTransport) wellKnown(r *http.Request) *http.Response {
	if r.Method == http.MethodDelete {
		s.cancels++
		run := `"unknown"`
		if s.cancelSucceeds {
			run = `"no"`
		}
		return answer(200, http.Header{}, `{"run":`+run+`}`)
	}
	s.issued++
	name := string(rune('A' + s.issued - 1))
	return answer(200, http.Header{}, `{"tickets":["`+name+`"],"expires":"2100-01-01T00:00:00Z"}`)
}

func TestOutcomes(t *testing.T) {
	no := transportStep{run: "no"}
	lost := transportStep{run: "unknown", reason: refusal.ReasonTargetFailed}
	gone := transportStep{run: "unknown", submission: "no", reason: refusal.ReasonTicketGone}
	broken, refused := transportStep{broken: true}, transportStep{refused: true}
	tests := []struct {
		name    string
		promise Protection
		method  string
		steps   []transportStep
		want    Outcome
		sent    string
	}{
		{"answer", ProtectionTicket, "POST", []transportStep{{}}, OutcomeRan, "A"},
		{"repeat told that it ran", ProtectionTicket, "POST", []transportStep{broken, {run: request.RunYes}}, OutcomeRan, "A A"},
		{"refused gets a new ticket", ProtectionTicket, "POST", []transportStep{no, {}}, OutcomeRan, "A B"},
		{"broken keeps its ticket", ProtectionTicket, "POST", []transportStep{broken, broken, {}}, OutcomeRan, "A A A"},
		{"broken, then refused for good", ProtectionTicket, "POST", []transportStep{broken, no, {}}, OutcomeRan, "A A B"},
		{"issuer gone before the first submission", ProtectionTicket, "POST", []transportStep{gone, {}}, OutcomeRan, "A B"},
		{"issuer gone after one that may have run", ProtectionTicket, "POST", []transportStep{broken, gone}, OutcomeUnknown, "A A"},
		{"lost", ProtectionTicket, "POST", []transportStep{lost}, OutcomeUnknown, "A"},
		{"never connected", ProtectionTicket, "POST", []transportStep{refused}, OutcomeNotRun, "A A A"},
		{"always refused", ProtectionTicket, "POST", []transportStep{no}, OutcomeNotRun, "A B C"},
		{"key broken, then refused", ProtectionKey, "POST", []transportStep{broken, no, no}, OutcomeNotRun, "  "},
		{"key broken, then store down", ProtectionKey, "POST", []transportStep{broken, {run: "unknown", submission: "no", reason: refusal.ReasonClaimStore}}, OutcomeUnknown, "  "},
		{"key refused, then store down", ProtectionKey, "POST", []transportStep{no, {run: "unknown", submission: "no", reason: refusal.ReasonClaimStore}}, OutcomeNotRun, "  "},
		{"plain broken is not repeated", ProtectionNone, "POST", []transportStep{broken, {}}, OutcomeUnknown, ""},
		{"plain refused is repeated", ProtectionNone, "POST", []transportStep{no, refused, {}}, OutcomeRan, "  "},
		{"get broken is repeated", ProtectionNone, "GET", []transportStep{broken, {}}, OutcomeRan, " "},
		{"get broken, then refused", ProtectionNone, "GET", []transportStep{broken, no, no}, OutcomeUnknown, "  "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedTransport{steps: tt.steps}
			c := New(Options{Base: "http://service", Transport: s, TicketBatch: 1, Submissions: 3,
				Sleep: func(context.Context, time.Duration) error { return nil }})
			r := c.Do(context.Background(), Request{Method: tt.method, Path: "/", Protection: tt.promise, Key: "0123456789abcdef"})
			require.Equal(t, tt.want.String(), r.Outcome.String())
			require.Equal(t, tt.sent, strings.Join(s.sent, " "))
		})
	}
}

func TestAbandonedTicketIsCancelled(t *testing.T) {
	for _, cancelSucceeds := range []bool{true, false} {
		s := &scriptedTransport{steps: []transportStep{{broken: true}}, cancelSucceeds: cancelSucceeds}
		c := New(Options{Base: "http://service", Transport: s, TicketBatch: 1, Submissions: 1,
			Sleep: func(context.Context, time.Duration) error { return nil }})
		r := c.Do(context.Background(), Request{Method: "POST", Path: "/", Protection: ProtectionTicket})
		want := OutcomeUnknown
		if cancelSucceeds {
			want = OutcomeNotRun
		}
		require.Equal(t, want, r.Outcome)
		require.Equal(t, 1, s.cancels)
	}
}

func TestRetryAfterBeyondTheDeadlineEndsAtOnce(t *testing.T) {
	s := &scriptedTransport{steps: []transportStep{{run: "no"}}}
	var slept time.Duration
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(time.Hour))
	defer cancel()
	c := New(Options{Base: "http://service", Transport: s, TicketBatch: 1, Submissions: 100, Now: func() time.Time { return now },
		Sleep: func(_ context.Context, d time.Duration) error {
			slept += d
			now = now.Add(50 * time.Minute)
			return nil
		}})
	r := c.Do(ctx, Request{Method: "POST", Path: "/", Protection: ProtectionNone})
	require.Equal(t, OutcomeNotRun, r.Outcome)
	require.Less(t, r.Submissions, 100)
}
