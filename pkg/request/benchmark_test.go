package request

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// benchServer returns the URL of a target, a Server in front of it, and the URL of that Server.
func benchServer(b *testing.B, h http.Handler, change func(*Options)) (string, *Server, string) {
	ts := httptest.NewServer(h)
	b.Cleanup(ts.Close)
	o := Options{Agent: "agent-1", Incarnation: 1, Service: "route-svc", Recorder: &memoryRecorder{}, Slots: 64,
		Target: netip.MustParseAddrPort(strings.TrimPrefix(ts.URL, "http://"))}
	if change != nil {
		change(&o)
	}
	s := New(o)
	b.Cleanup(func() { _ = s.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.ServeFlow(context.Background(), c, flow.Key{Source: c.RemoteAddr().(*net.TCPAddr).AddrPort()})
		}
	}()
	return ts.URL, s, "http://" + l.Addr().String()
}

func doRequest(b *testing.B, method, url string, headers ...string) {
	req, err := http.NewRequest(method, url, strings.NewReader("order"))
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

var okHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") })

func BenchmarkRequest(b *testing.B) {
	direct, s, through := benchServer(b, okHandler, func(o *Options) { o.Store, o.ClaimRate = newMemoryStore(), 1e9 })
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			doRequest(b, "POST", direct)
		}
	})
	b.Run("plain", func(b *testing.B) {
		for b.Loop() {
			doRequest(b, "POST", through)
		}
	})
	b.Run("ticket", func(b *testing.B) {
		for b.Loop() {
			tickets := s.issue(1)
			if len(tickets) == 0 {
				b.Fatal("book is full")
			}
			doRequest(b, "POST", through, HeaderTicket, tickets[0].String())
		}
	})
	b.Run("claim", func(b *testing.B) {
		for b.Loop() {
			doRequest(b, "POST", through, HeaderKey, time.Now().String())
		}
	})
}

// BenchmarkOpenRequests measures the memory of a request that waits for a slot, including its connection.
func BenchmarkOpenRequests(b *testing.B) {
	const open = 2000
	block := make(chan struct{})
	defer close(block)
	held := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-block })
	_, s, url := benchServer(b, held, func(o *Options) { o.Slots, o.Queue, o.Unbounded = 1, open, true })
	address := strings.TrimPrefix(url, "http://")
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]net.Conn, open)
		for i := range conns {
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Timeout: 600000\r\n\r\n")
			conns[i] = c
		}
		for s.Load().Waiting < open-1 {
			time.Sleep(time.Millisecond)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/open, "B/request")
		for _, c := range conns {
			_ = c.Close()
		}
		for s.Load().Waiting > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
