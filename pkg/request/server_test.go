package request

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// memoryRecorder keeps refusal records in memory.
type memoryRecorder struct {
	mu      sync.Mutex
	records []refusal.Record
}

func (m *memoryRecorder) Record(r refusal.Record) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, r)
	return fmt.Sprintf("test-%d", len(m.records))
}

// listen serves the server's flows on a loopback listener and returns the base URL.
func listen(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			key := flow.Key{Source: c.RemoteAddr().(*net.TCPAddr).AddrPort(), Protocol: flow.ProtocolTCP}
			go s.ServeFlow(context.Background(), c, key)
		}
	}()
	return "http://" + l.Addr().String()
}

func newTestServer(t *testing.T, target http.Handler, change func(*Options)) (*Server, string) {
	t.Helper()
	ts := httptest.NewServer(target)
	t.Cleanup(ts.Close)
	o := Options{Agent: "agent-1", Incarnation: 1, Service: "route-svc", Recorder: &memoryRecorder{},
		Target: netip.MustParseAddrPort(strings.TrimPrefix(ts.URL, "http://"))}
	if change != nil {
		change(&o)
	}
	s := New(o)
	t.Cleanup(func() { _ = s.Close() })
	return s, listen(t, s)
}

func TestStreamsBodiesAndTrailersBothWays(t *testing.T) {
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("X-Sum", "sum of "+r.Trailer.Get("X-Part"))
	})
	_, url := newTestServer(t, target, nil)
	body := strings.Repeat("run sheet ", 100_000)
	req, err := http.NewRequest(http.MethodPost, url+"/sheets", io.MultiReader(strings.NewReader(body)))
	require.NoError(t, err)
	req.Trailer = http.Header{"X-Part": []string{"seven"}}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	require.Equal(t, "sum of seven", res.Trailer.Get("X-Sum"))
}

func TestTruncatedResponseIsVisible(t *testing.T) {
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "the first half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, url := newTestServer(t, target, nil)
	res, err := http.Get(url)
	require.NoError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	require.Error(t, err)
}

func TestUnreadStreamLeavesTheServerUsable(t *testing.T) {
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusTeapot) })
	_, url := newTestServer(t, target, nil)
	for range 3 {
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)))
		res, err := http.Post(url, "text/plain", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusTeapot, res.StatusCode)
		require.NoError(t, res.Body.Close())
	}
}
