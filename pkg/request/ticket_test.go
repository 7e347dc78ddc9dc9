package request

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// gate is a target that counts its requests and holds each until it is released.
type gate struct {
	hits    atomic.Int32
	started chan struct{}
	release chan struct{}
	size    int
}

func newGate() *gate {
	return &gate{started: make(chan struct{}, 100), release: make(chan struct{}, 100), size: 10}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.hits.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	g.started <- struct{}{}
	select {
	case <-g.release:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strings.Repeat("a", g.size))
}

func takeTicket(t *testing.T, url string) string {
	t.Helper()
	res, body := call(t, "POST", url+"/.well-known/auburnwood/tickets?n=1", "")
	require.Equal(t, 200, res.StatusCode, body)
	var list TicketList
	require.NoError(t, json.Unmarshal([]byte(body), &list))
	require.Len(t, list.Tickets, 1)
	return list.Tickets[0]
}

func TestRepeatsOfATicketShareOneResponse(t *testing.T) {
	g := newGate()
	_, url := newTestServer(t, g, nil)
	text := takeTicket(t, url)
	var repeated atomic.Int32
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			res, body := call(t, "POST", url+"/orders", "order", HeaderTicket, text)
			if res.StatusCode != 200 || body != "aaaaaaaaaa" {
				t.Error(res.StatusCode, body)
			}
			if res.Header.Get(HeaderRepeated) == "true" {
				repeated.Add(1)
			}
		})
	}
	<-g.started
	g.release <- struct{}{}
	wg.Wait()
	require.EqualValues(t, 1, g.hits.Load())
	require.EqualValues(t, 4, repeated.Load())
}

func TestRepeatOfALargeResponseReportsCompletedWork(t *testing.T) {
	g := newGate()
	g.size = maxCachedResponse + 1
	g.release <- struct{}{}
	_, url := newTestServer(t, g, nil)
	text := takeTicket(t, url)
	_, body := call(t, "POST", url, "order", HeaderTicket, text)
	require.Len(t, body, g.size)
	res, body := call(t, "POST", url, "order", HeaderTicket, text)
	require.Equal(t, 409, res.StatusCode)
	var ran CompletedWork
	require.NoError(t, json.Unmarshal([]byte(body), &ran))
	require.Equal(t, RunYes, ran.Run)
	require.Equal(t, 200, ran.Outcome)
}

func TestTicketRefusals(t *testing.T) {
	g := newGate()
	s, url := newTestServer(t, g, nil)
	state := func(change func(text string)) string {
		text := takeTicket(t, url)
		change(text)
		return text
	}
	spent := state(func(text string) {
		g.release <- struct{}{}
		call(t, "POST", url, "order", HeaderTicket, text)
	})
	cancelled := state(func(text string) {
		call(t, "DELETE", url+"/.well-known/auburnwood/tickets/"+text, "")
	})
	parsed, err := ticket.Parse(takeTicket(t, url))
	require.NoError(t, err)
	change := func(f func(k *ticket.Ticket)) string {
		k := parsed
		f(&k)
		return k.String()
	}
	tests := []struct {
		name       string
		ticket     string
		path       string
		reason     refusal.Reason
		run        refusal.Run
		submission refusal.Run
	}{
		{"another request", spent, "/other", refusal.ReasonTicketSpent, "unknown", "no"},
		{"cancelled", cancelled, "/", refusal.ReasonCancelled, "no", ""},
		{"guessed", change(func(k *ticket.Ticket) { k.Secret++ }), "/", refusal.ReasonTicketUnknown, "no", ""},
		{"earlier incarnation", change(func(k *ticket.Ticket) { k.Incarnation-- }), "/", refusal.ReasonTicketGone, "unknown", "no"},
		{"unknown agent", change(func(k *ticket.Ticket) { k.Issuer = "agent-9" }), "/", refusal.ReasonTicketGone, "unknown", "no"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res, body := call(t, "POST", url+tt.path, "order", HeaderTicket, tt.ticket)
			require.Equal(t, string(tt.reason), res.Header.Get(HeaderReason), body)
			require.Equal(t, string(tt.run), res.Header.Get(HeaderRun))
			require.Equal(t, string(tt.submission), res.Header.Get(HeaderSubmission))
		})
	}
	require.EqualValues(t, 1, g.hits.Load())
	require.Equal(t, 3, s.book.Size())
}

func submitAsync(t *testing.T, url, text string) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader("order"))
	require.NoError(t, err)
	req.Header.Set(HeaderTicket, text)
	go func() {
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	return cancel
}

func ticketStatusOf(t *testing.T, url, text string) TicketStatus {
	t.Helper()
	var status TicketStatus
	_, body := call(t, "GET", url+"/.well-known/auburnwood/tickets/"+text, "")
	require.NoError(t, json.Unmarshal([]byte(body), &status))
	return status
}

func TestStartedWorkOfATicketOutlivesItsCaller(t *testing.T) {
	g := newGate()
	_, url := newTestServer(t, g, nil)
	text := takeTicket(t, url)
	disconnect := submitAsync(t, url, text)
	<-g.started
	disconnect()
	g.release <- struct{}{}
	res, _ := call(t, "POST", url, "order", HeaderTicket, text)
	require.Equal(t, 200, res.StatusCode)
	require.Equal(t, "true", res.Header.Get(HeaderRepeated))
	require.EqualValues(t, 1, g.hits.Load())
}

func TestWaitingWorkOfAGoneCallerIsNotStarted(t *testing.T) {
	g := newGate()
	_, url := newTestServer(t, g, nil)
	first, second := takeTicket(t, url), takeTicket(t, url)
	submitAsync(t, url, first)
	<-g.started
	disconnect := submitAsync(t, url, second)
	require.Eventually(t, func() bool { return ticketStatusOf(t, url, second).State == "waiting" }, 5*time.Second, time.Millisecond)
	disconnect()
	require.Eventually(t, func() bool { return ticketStatusOf(t, url, second).State == "cancelled" }, 5*time.Second, time.Millisecond)
	g.release <- struct{}{}
	require.Eventually(t, func() bool { return ticketStatusOf(t, url, first).Run == RunYes }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, g.hits.Load())
}

func TestCancelOfStartedWorkReachesTheTarget(t *testing.T) {
	g := newGate()
	_, url := newTestServer(t, g, nil)
	text := takeTicket(t, url)
	submitAsync(t, url, text)
	<-g.started
	require.Eventually(t, func() bool {
		call(t, "DELETE", url+"/.well-known/auburnwood/tickets/"+text, "")
		return ticketStatusOf(t, url, text).State == "lost"
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, refusal.RunUnknown, ticketStatusOf(t, url, text).Run)
}

func TestOverloadIsRefusedWithRetryAfter(t *testing.T) {
	g := newGate()
	_, url := newTestServer(t, g, func(o *Options) { o.Queue = 1 })
	submitAsync(t, url, takeTicket(t, url))
	<-g.started
	waiting := takeTicket(t, url)
	submitAsync(t, url, waiting)
	require.Eventually(t, func() bool { return ticketStatusOf(t, url, waiting).State == "waiting" }, 5*time.Second, time.Millisecond)
	text := takeTicket(t, url)
	res, _ := call(t, "POST", url, "order", HeaderTicket, text, HeaderTimeout, "60000")
	require.Equal(t, 503, res.StatusCode)
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.Equal(t, "cancelled", ticketStatusOf(t, url, text).State)
}

// A draining agent closes an idle connection on which the caller may be repeating a ticket. The refusal must not report
// run "no": the caller would take another ticket and run the work again.
func TestIdleRefusalDoesNotDenyEarlierWork(t *testing.T) {
	g := newGate()
	g.release <- struct{}{}
	s, url := newTestServer(t, g, nil)
	text := takeTicket(t, url)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	submission := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + HeaderTicket + ": " + text + "\r\n\r\n"
	_, err = io.WriteString(conn, submission)
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, 200, res.StatusCode)
	_, _ = io.Copy(io.Discard, res.Body)
	require.NoError(t, s.Drain(context.Background()))
	res, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, res.StatusCode)
	require.Equal(t, "unknown", res.Header.Get(HeaderRun))
	require.Equal(t, "no", res.Header.Get(HeaderSubmission))
}

func TestOneCallerCanNotTakeAllTickets(t *testing.T) {
	now := time.Now()
	_, url := newTestServer(t, newGate(), func(o *Options) { o.Now = func() time.Time { return now } })
	ask := url + "/.well-known/auburnwood/tickets?n=64"
	for range ticketBurst / maxTickets {
		res, _ := call(t, "POST", ask, "")
		require.Equal(t, 200, res.StatusCode)
	}
	res, _ := call(t, "POST", ask, "")
	require.Equal(t, http.StatusTooManyRequests, res.StatusCode)
	require.Equal(t, "1", res.Header.Get("Retry-After"))
}

func TestStalledResponseReleasesItsSlot(t *testing.T) {
	target := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	s, url := newFaultServer(t, target.addr(), nil)
	text := takeTicket(t, url)
	disconnect := submitAsync(t, url, text)
	require.Eventually(t, func() bool { return s.Load().Busy == 1 }, 5*time.Second, time.Millisecond)
	disconnect()
	require.Eventually(t, func() bool { return ticketStatusOf(t, url, text).State == "lost" }, 5*time.Second, time.Millisecond)
	require.Zero(t, s.Load().Busy)
}

// panickingBook panics at the start of work.
type panickingBook struct{ ticketBook }

func (panickingBook) Start(ticket.Ticket) bool { panic(http.ErrAbortHandler) }

func TestPanicEndsTicket(t *testing.T) {
	s, url := newTestServer(t, newGate(), nil)
	s.book = panickingBook{s.book}
	text := takeTicket(t, url)
	_, err := http.DefaultClient.Do(newTicketRequest(url, text))
	require.Error(t, err)
	require.Eventually(t, func() bool { return ticketStatusOf(t, url, text).State == "cancelled" }, 5*time.Second, time.Millisecond)
}
