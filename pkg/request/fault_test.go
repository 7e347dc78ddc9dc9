package request

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// scriptedTarget responds to the n-th request with the n-th step, and to all further requests with the last step.
type scriptedTarget struct {
	listener net.Listener
	hits     atomic.Int32
	steps    []string
}

// Steps of a scriptedTarget; any other text is sent verbatim.
const (
	stepCloseConn = "break" // closes the connection without a response
	stepStop      = "stop"  // also stops listening
	stepHang      = "hang"  // never responds
	responseOK    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	responseShed  = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 0\r\n\r\n"
)

func newScriptedTarget(t *testing.T, steps ...string) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedTarget{listener: l, steps: steps}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

func (s *scriptedTarget) addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

func (s *scriptedTarget) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n := min(int(s.hits.Add(1)), len(s.steps))
		switch step := s.steps[n-1]; step {
		case stepCloseConn:
			return
		case stepStop:
			_ = s.listener.Close()
			return
		case stepHang:
			_, _ = io.Copy(io.Discard, r)
			return
		default:
			_, _ = io.WriteString(c, step)
			if strings.Contains(step, "Connection: close") {
				return
			}
		}
	}
}

func newFaultServer(t *testing.T, target netip.AddrPort, change func(*Options)) (*Server, string) {
	t.Helper()
	o := Options{Agent: "agent-1", Incarnation: 1, Service: "route-svc", Recorder: &memoryRecorder{}, Target: target,
		Grace: 10 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	s := New(o)
	t.Cleanup(func() { _ = s.Close() })
	return s, listen(t, s)
}

// call sends one request and reads the complete response.
func call(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res, string(got)
}

func TestTargetFaults(t *testing.T) {
	const unsized = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ans"
	tests := []struct {
		name   string
		steps  []string
		method string
		status int
		reason refusal.Reason
		run    refusal.Run
		hits   int32
	}{
		{"answer", []string{responseOK}, "POST", 200, "", "", 1},
		{"post without answer is not repeated", []string{stepCloseConn, responseOK}, "POST", 502, refusal.ReasonTargetFailed, "unknown", 1},
		{"get without answer is repeated", []string{stepCloseConn, responseOK}, "GET", 200, "", "", 2},
		{"get is repeated a few times only", []string{stepCloseConn}, "GET", 502, refusal.ReasonTargetFailed, "unknown", maxAttempts},
		{"get that may have run is never called not run", []string{stepStop}, "GET", 503, refusal.ReasonTargetRefused, "unknown", 1},
		{"shed post is not run and not repeated", []string{responseShed, responseOK}, "POST", 503, refusal.ReasonTargetShed, "no", 1},
		{"shed get is repeated", []string{responseShed, responseOK}, "GET", 200, "", "", 2},
		{"answer without a length", []string{unsized}, "GET", 502, refusal.ReasonTargetFailed, "unknown", 1},
		{"late answer", []string{stepHang}, "POST", 504, refusal.ReasonDeadline, "unknown", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, tt.steps...)
			_, url := newFaultServer(t, target.addr(), nil)
			res, body := call(t, tt.method, url, "order", HeaderTimeout, "700")
			require.Equal(t, tt.status, res.StatusCode, body)
			require.Equal(t, string(tt.run), res.Header.Get(HeaderRun))
			require.Equal(t, tt.hits, target.hits.Load())
			if tt.run == "" {
				return
			}
			var p Problem
			require.NoError(t, json.Unmarshal([]byte(body), &p))
			require.Equal(t, ProblemType, res.Header.Get("Content-Type"))
			require.Equal(t, tt.reason, p.Reason)
			require.Equal(t, "test-1", p.Instance)
		})
	}
}

func TestClosedTargetIsRefusedAsNotRunWithRetryAfter(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	require.NoError(t, target.listener.Close())
	_, url := newFaultServer(t, target.addr(), nil)
	begin := time.Now()
	res, _ := call(t, "POST", url, "order", HeaderTimeout, "100")
	require.Equal(t, 503, res.StatusCode)
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.Less(t, time.Since(begin), 10*time.Second)
}

// http.Transport resends idempotent requests that fail on a reused connection. Here the second attempt would be shed,
// and the caller would get run "no" although the first may have run.
func TestGetIsNotRepeatedByTheTransport(t *testing.T) {
	target := newScriptedTarget(t, responseOK, stepCloseConn, responseShed)
	_, url := newFaultServer(t, target.addr(), func(o *Options) { o.RetryRatio = 1e-9 })
	call(t, "GET", url, "")
	res, _ := call(t, "GET", url, "", HeaderTimeout, "300")
	require.Equal(t, "unknown", res.Header.Get(HeaderRun))
}

// http.Transport also resends requests with an idempotency header.
func TestKeyIsNotRepeatedByTheTransport(t *testing.T) {
	for _, name := range []string{HeaderKey, "X-Idempotency-Key"} {
		target := newScriptedTarget(t, responseOK, stepCloseConn, responseOK)
		_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store = newMemoryStore() })
		call(t, "GET", url, "")
		res, _ := call(t, "POST", url, "", name, "0123456789abcdef")
		require.Equal(t, "unknown", res.Header.Get(HeaderRun))
		require.EqualValues(t, 2, target.hits.Load())
	}
}

func TestMalformedRequests(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	s, url := newFaultServer(t, target.addr(), nil)
	ticket := s.issue(1)[0].String()
	tests := []struct {
		name       string
		headers    []string
		run        refusal.Run
		submission refusal.Run
	}{
		{"timeout", []string{HeaderTimeout, "soon"}, "no", ""},
		{"timeout with a ticket that may have run", []string{HeaderTimeout, "soon", HeaderTicket, ticket}, "unknown", "no"},
		{"ticket", []string{HeaderTicket, "AAAA"}, "no", ""},
		{"short key", []string{HeaderKey, "1"}, "no", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res, _ := call(t, "POST", url, "order", tt.headers...)
			require.Equal(t, 400, res.StatusCode)
			require.Equal(t, string(tt.run), res.Header.Get(HeaderRun))
			require.Equal(t, string(tt.submission), res.Header.Get(HeaderSubmission))
		})
	}
	require.Zero(t, target.hits.Load())
}

func TestHTTP10IsRefused(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	_, url := newFaultServer(t, target.addr(), nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(answer), "400 Bad Request")
	require.Zero(t, target.hits.Load())
}

func TestAgentHeadersAreNotForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	_, url := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set(HeaderRun, "no")
		w.WriteHeader(http.StatusOK)
	}), nil)
	res, _ := call(t, "GET", url, "", headerHop, "1", headerService, "x", "X-Forwarded-For", "192.0.2.9", HeaderTimeout, "900")
	h := <-seen
	require.Empty(t, h.Get(headerHop))
	require.Empty(t, h.Get(headerService))
	require.Equal(t, "127.0.0.1", h.Get("X-Forwarded-For"))
	require.NotEmpty(t, h.Get(HeaderTimeout))
	require.Empty(t, res.Header.Get(HeaderRun))
}

func TestHeadNeedsNoLength(t *testing.T) {
	_, url := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Seen", "yes")
		_ = http.NewResponseController(w).Flush()
	}), nil)
	res, _ := call(t, "HEAD", url, "")
	require.Equal(t, 200, res.StatusCode)
	require.Equal(t, "yes", res.Header.Get("X-Seen"))
}

func TestRecordsDoNotHoldSecrets(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	recorder := &memoryRecorder{}
	s, url := newFaultServer(t, target.addr(), func(o *Options) { o.Recorder = recorder })
	k := s.issue(1)[0]
	s.book.Cancel(time.Now(), k)
	call(t, "POST", url, "order", HeaderTicket, k.String())
	require.Equal(t, k.ID(), recorder.records[0].Request)
	require.NotContains(t, recorder.records[0].Request, k.String())
}

func TestCancelReachesTheTarget(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	_, url := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
		close(began)
		<-r.Context().Done()
		close(ended)
	}), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader("order"))
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	<-ended
}

func TestHTTP2(t *testing.T) {
	_, url := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), nil)
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	client := http.Client{Transport: &http.Transport{Protocols: p}}
	defer client.CloseIdleConnections()
	res, err := client.Post(url, "text/plain", strings.NewReader("over two"))
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, 2, res.ProtoMajor)
	require.Equal(t, "over two", string(body))
}
