package request

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// event is an event in the history of one piece of work: the target began it, or a caller received its result. attempt
// is the attempt number of a key's submission, and 1 for tickets.
type event struct {
	work    string
	kind    string
	attempt int
}

// Kinds of events; all but eventBegan are results that callers received.
const (
	eventBegan   = "began"
	eventNo      = "told no"
	eventRan     = "told ran"
	eventUnknown = "told unknown"
)

// workState is the model's state of one piece of work.
type workState struct {
	runs           int
	refusedThrough int
}

// atMostOnceModel requires that work begins at most once, that no submission begins whose attempt number is at most
// that of one refused as not run, and that work is reported as run only after it began.
var atMostOnceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(event).work
			parts[k] = append(parts[k], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return workState{} },
	Step: func(state, input, _ any) (bool, any) {
		f, e := state.(workState), input.(event)
		switch e.kind {
		case eventBegan:
			return f.runs == 0 && e.attempt > f.refusedThrough, workState{runs: 1, refusedThrough: f.refusedThrough}
		case eventNo:
			return f.runs == 0, workState{refusedThrough: max(f.refusedThrough, e.attempt)}
		case eventRan:
			return f.runs == 1, f
		}
		return true, f
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprint(input) },
}

// historyRecorder records the history of a run and serves as its target.
type historyRecorder struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
	last  int
}

func (c *historyRecorder) now() int64 { return time.Since(c.begin).Nanoseconds() }

func (c *historyRecorder) add(client int, e event, from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, porcupine.Operation{ClientId: client, Input: e, Call: from, Return: to})
}

// ServeHTTP sheds some requests, drops some responses, and delays others.
func (c *historyRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	dice := rand.IntN(20)
	if dice < 5 {
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from := c.now()
	c.mu.Lock()
	c.last++
	client := 1000 + c.last
	c.mu.Unlock()
	attempt, err := strconv.Atoi(r.Header.Get("X-Attempt"))
	if err != nil {
		panic(err) // the test's own header
	}
	c.add(client, event{r.Header.Get("X-Work"), eventBegan, attempt}, from, c.now())
	time.Sleep(time.Duration(dice) * 100 * time.Microsecond)
	if dice == 5 {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "done")
}

// submit sends one submission, cancels some of them, and records the result that the caller received. It reports
// whether the work ran.
func (c *historyRecorder) submit(client int, url, work string, header, value string, attempt int) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if rand.IntN(6) == 0 {
		time.AfterFunc(time.Duration(rand.IntN(2000))*time.Microsecond, cancel)
	}
	req, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader("order"))
	if err != nil {
		panic(err) // the test's own URL
	}
	req.Header.Set(header, value)
	req.Header.Set("X-Work", work)
	req.Header.Set(HeaderAttempt, strconv.Itoa(attempt))
	req.Header.Set("X-Attempt", strconv.Itoa(attempt))
	DisableTransportRetry(req)
	from := c.now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	kind := eventUnknown
	switch {
	case err == nil && (res.StatusCode == 200 || res.Header.Get(HeaderRun) == string(RunYes)):
		kind = eventRan
	case res.Header.Get(HeaderRun) == string(refusal.RunNo):
		kind = eventNo
	}
	c.add(client, event{work, kind, attempt}, from, c.now())
	return kind == eventRan
}

// doubleRunBook is a faulty ticket book that runs a ticket for every submission.
type doubleRunBook struct{ ticketBook }

func (b doubleRunBook) Spend(now time.Time, t ticket.Ticket, f uint64) ticket.Result {
	res := b.ticketBook.Spend(now, t, f)
	res.Won = true
	return res
}

func (b doubleRunBook) Start(t ticket.Ticket) bool {
	b.ticketBook.Start(t)
	return true
}

// prematureRefusalBook is a faulty ticket book that accepts a refused ticket again, so that run "no" is reported before
// it is final.
type prematureRefusalBook struct {
	ticketBook
	mu      sync.Mutex
	refused map[ticket.Ticket]bool
}

func (b *prematureRefusalBook) Withdraw(now time.Time, t ticket.Ticket) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[t] = true
	return b.ticketBook.Withdraw(now, t)
}

func (b *prematureRefusalBook) Spend(now time.Time, t ticket.Ticket, f uint64) ticket.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	res := b.ticketBook.Spend(now, t, f)
	if b.refused[t] {
		delete(b.refused, t)
		res.Won = true
	}
	return res
}

func (b *prematureRefusalBook) Start(t ticket.Ticket) bool {
	b.ticketBook.Start(t)
	return true
}

// checkHistory runs concurrent submissions of the same tickets and keys at two agents, one of which is closed during
// the run, and checks the history against the model.
func checkHistory(t *testing.T, wrap func(ticketBook) ticketBook) porcupine.CheckResult {
	c := &historyRecorder{begin: time.Now()}
	faults := make([]storeFault, 400)
	for i := range faults {
		faults[i] = []storeFault{faultNone, faultNone, faultDown, faultLostAfter, faultLostBefore}[rand.IntN(5)]
	}
	store := newMemoryStore(faults...)
	a, b := newHistoryAgent(t, "agent-a", c, store), newHistoryAgent(t, "agent-b", c, store)
	a.peers.set(b.peer)
	b.peers.set(a.peer)
	a.server.book, b.server.book = wrap(a.server.book), wrap(b.server.book)
	var wg sync.WaitGroup
	for client := range 8 {
		wg.Go(func() {
			for i := range 8 {
				work := fmt.Sprintf("key-%010d-%010d", client, i)
				ran := false
				for attempt := 1; attempt <= 6 && !ran; attempt++ {
					m := []*testAgent{a, b}[rand.IntN(2)]
					ran = c.submit(client, m.url, work, HeaderKey, work, attempt)
				}
			}
		})
	}
	issued := append(a.server.issue(30), b.server.issue(30)...)
	for client := range 4 {
		wg.Go(func() {
			for _, k := range issued {
				m := []*testAgent{a, b}[rand.IntN(2)]
				c.submit(100+client, m.url, k.String(), HeaderTicket, k.String(), 1)
			}
		})
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = b.server.Close() })
	wg.Wait()
	time.Sleep(20 * time.Millisecond) // work may still begin after its caller has disconnected
	c.mu.Lock()
	defer c.mu.Unlock()
	return porcupine.CheckOperationsTimeout(atMostOnceModel, c.ops, 20*time.Second)
}

func newHistoryAgent(t *testing.T, name string, target http.Handler, store *memoryStore) *testAgent {
	t.Helper()
	m := &testAgent{peers: &testPeers{}}
	m.server, m.url = newTestServer(t, target, func(o *Options) {
		o.Agent, o.Peers, o.Store, o.Slots, o.ClaimRate = name, m.peers, store, 3, 1e6
	})
	m.peer = serveControlOf(t, m.server, name)
	return m
}

func TestHistoriesOfTicketsAndClaims(t *testing.T) {
	tests := []struct {
		name string
		wrap func(ticketBook) ticketBook
		want bool
	}{
		{"agent", func(b ticketBook) ticketBook { return b }, true},
		{"runs a ticket twice", func(b ticketBook) ticketBook { return doubleRunBook{b} }, false},
		{"says no before it is final", func(b ticketBook) ticketBook {
			return &prematureRefusalBook{ticketBook: b, refused: make(map[ticket.Ticket]bool)}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			holds := true
			for n := 0; n < 10 && holds && (n < 2 || !tt.want); n++ {
				result := checkHistory(t, tt.wrap)
				require.NotEqual(t, porcupine.Unknown, result)
				holds = holds && result == porcupine.Ok
			}
			require.Equal(t, tt.want, holds)
		})
	}
}
