package request

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireCounts waits until the server has counted the requests.
func requireCounts(t *testing.T, s *Server, requests, failures uint64) {
	t.Helper()
	ok := func() bool {
		r, f := s.Counts()
		return r == requests && f == failures
	}
	require.Eventually(t, ok, 10*time.Second, time.Millisecond)
}

func TestRequestsThatTheTargetFailsAreCounted(t *testing.T) {
	const failing = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
	const missing = "HTTP/1.1 404 Missing\r\nContent-Length: 0\r\n\r\n"
	const cut = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nok"
	tests := []struct {
		name               string
		steps              []string
		method             string
		requests, failures uint64
	}{
		{"answer", []string{responseOK}, "POST", 1, 0},
		{"the caller's mistake", []string{missing}, "POST", 1, 0},
		{"failing target", []string{failing}, "POST", 1, 1},
		{"no answer", []string{stepCloseConn}, "POST", 1, 1},
		{"second try is answered", []string{stepCloseConn, responseOK}, "GET", 1, 0},
		{"target refuses", []string{responseShed}, "POST", 1, 1},
		{"target stops", []string{stepStop}, "GET", 1, 1},
		{"late answer", []string{stepHang}, "POST", 1, 1},
		{"cut answer", []string{cut}, "POST", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, tt.steps...)
			s, url := newFaultServer(t, target.addr(), nil)
			req, err := http.NewRequest(tt.method, url, strings.NewReader("order"))
			require.NoError(t, err)
			req.Header.Set(HeaderTimeout, "300")
			if res, err := http.DefaultClient.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
			requireCounts(t, s, tt.requests, tt.failures)
		})
	}
}

func TestCancelledRequestIsNotCounted(t *testing.T) {
	target := newScriptedTarget(t, stepHang, responseOK)
	s, url := newFaultServer(t, target.addr(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("order"))
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return s.Load().Busy == 0 }, 10*time.Second, time.Millisecond)
	call(t, http.MethodPost, url, "order")
	requireCounts(t, s, 1, 0)
}
