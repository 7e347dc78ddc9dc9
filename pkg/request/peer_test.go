package request

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// testPeers is a changeable view.
type testPeers struct {
	mu    sync.Mutex
	peers []Peer
}

func (p *testPeers) set(peers ...Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = peers
}

func (p *testPeers) Candidates() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers
}

func (p *testPeers) Find(agent string) (Peer, bool) {
	for _, peer := range p.Candidates() {
		if peer.Agent == agent {
			return peer, true
		}
	}
	return Peer{}, false
}

// testAgent is one agent of a test, with its target.
type testAgent struct {
	server *Server
	target *blockingTarget
	url    string
	peer   Peer
	peers  *testPeers
}

func newTestAgent(t *testing.T, name string, change func(*Options)) *testAgent {
	t.Helper()
	m := &testAgent{target: newBlockingTarget(), peers: &testPeers{}}
	m.server, m.url = newTestServer(t, m.target, func(o *Options) {
		o.Agent = name
		o.Peers = m.peers
		if change != nil {
			change(o)
		}
	})
	m.peer = serveControlOf(t, m.server, name)
	return m
}

func serveControlOf(t *testing.T, s *Server, name string) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.ServeControl(l) }()
	return Peer{Agent: name, Control: l.Addr().(*net.TCPAddr).AddrPort()}
}

func newAgentPair(t *testing.T) (*testAgent, *testAgent) {
	t.Helper()
	a, b := newTestAgent(t, "agent-a", nil), newTestAgent(t, "agent-b", nil)
	a.peers.set(b.peer)
	b.peers.set(a.peer)
	return a, b
}

func TestTicketRunsAtItsIssuerWhicheverAgentGetsIt(t *testing.T) {
	a, b := newAgentPair(t)
	issued := b.server.issue(1)[0].String()
	b.target.release <- struct{}{}
	for range 2 {
		res, body := call(t, "POST", a.url+"/orders", "order", HeaderTicket, issued)
		require.Equal(t, 200, res.StatusCode, body)
		require.Equal(t, "aaaaaaaaaa", body)
		require.Empty(t, res.Header.Get(headerLoad))
	}
	require.EqualValues(t, 1, b.target.hits.Load())
	require.Zero(t, a.target.hits.Load())
	require.Equal(t, RunYes, ticketStatusOf(t, a.url, issued).Run)
}

func TestTicketOfAnAgentThatIsGoneIsNeverRun(t *testing.T) {
	a, b := newAgentPair(t)
	issued := b.server.issue(1)[0].String()
	require.NoError(t, b.server.Close())
	res, _ := call(t, "POST", a.url, "order", HeaderTicket, issued)
	require.Equal(t, "unknown", res.Header.Get(HeaderRun))
	require.Equal(t, "no", res.Header.Get(HeaderSubmission))
	require.Equal(t, string(refusal.ReasonTicketGone), res.Header.Get(HeaderReason))
	require.Zero(t, a.target.hits.Load())
}

func TestWaitingRequestIsSteeredToAFreeTarget(t *testing.T) {
	for _, kind := range []string{"plain", "ticket"} {
		t.Run(kind, func(t *testing.T) {
			a, b := newAgentPair(t)
			submitAsync(t, a.url, a.server.issue(1)[0].String())
			<-a.target.started
			b.target.release <- struct{}{}
			var headers []string
			if kind == "ticket" {
				headers = []string{HeaderTicket, a.server.issue(1)[0].String()}
			}
			res, _ := call(t, "POST", a.url, "order", headers...)
			require.Equal(t, 200, res.StatusCode)
			require.EqualValues(t, 1, a.target.hits.Load())
			require.EqualValues(t, 1, b.target.hits.Load())
		})
	}
}

func TestBusyPeerDeclinesAndTheRequestWaits(t *testing.T) {
	a, b := newAgentPair(t)
	submitAsync(t, a.url, a.server.issue(1)[0].String())
	submitAsync(t, b.url, b.server.issue(1)[0].String())
	<-a.target.started
	<-b.target.started
	a.server.loads.update(time.Now(), "agent-b", limit.Load{Limit: 1})
	text := a.server.issue(1)[0].String()
	submitAsync(t, a.url, text)
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, text).State == "waiting" }, 5*time.Second, time.Millisecond)
	a.target.release <- struct{}{}
	<-a.target.started
	a.target.release <- struct{}{}
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, text).Run == RunYes }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 2, a.target.hits.Load())
	require.EqualValues(t, 1, b.target.hits.Load())
}

func TestDrainSteersTheWaitingAndEndsTheRunning(t *testing.T) {
	a, b := newAgentPair(t)
	running, waiting := a.server.issue(1)[0].String(), a.server.issue(1)[0].String()
	submitAsync(t, a.url, running)
	<-a.target.started
	b.server.draining.Store(true) // so that nothing is steered before
	b.server.limiter.Close()
	submitAsync(t, a.url, waiting)
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, waiting).State == "waiting" }, 5*time.Second, time.Millisecond)
	c := newTestAgent(t, "agent-c", nil)
	a.peers.set(c.peer)
	c.target.release <- struct{}{}
	drained := make(chan error, 1)
	go func() { drained <- a.server.Drain(context.Background()) }()
	<-c.target.started
	c.target.release <- struct{}{}
	require.Eventually(t, func() bool { return c.server.Load().Busy == 0 }, 5*time.Second, time.Millisecond)
	res, _ := call(t, "POST", a.url, "order") // new work goes elsewhere
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 2, c.target.hits.Load())
	a.peers.set()
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, string(refusal.ReasonDraining), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	a.target.release <- struct{}{}
	require.NoError(t, <-drained)
	require.Equal(t, RunYes, ticketStatusOf(t, a.url, running).Run)
	require.Equal(t, RunYes, ticketStatusOf(t, a.url, waiting).Run)
	require.EqualValues(t, 1, a.target.hits.Load())
}

func TestRequestsOfAnEvacuatedDataCentreGoToPeers(t *testing.T) {
	a, b := newAgentPair(t)
	running := a.server.issue(1)[0].String()
	submitAsync(t, a.url, running)
	<-a.target.started
	a.server.SetEvacuated(true)
	b.target.release <- struct{}{}
	res, _ := call(t, "POST", a.url, "order")
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 1, b.target.hits.Load())
	a.peers.set()
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, string(refusal.ReasonEvacuated), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	a.target.release <- struct{}{}
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, running).Run == RunYes }, 5*time.Second, time.Millisecond)
	a.server.SetEvacuated(false)
	a.target.release <- struct{}{}
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 2, a.target.hits.Load())
}

func TestAgentOfAnotherServiceRefuses(t *testing.T) {
	a := newTestAgent(t, "agent-a", nil)
	other := newTestAgent(t, "agent-b", func(o *Options) { o.Service = "reports-svc" })
	a.peers.set(other.peer)
	submitAsync(t, a.url, a.server.issue(1)[0].String())
	<-a.target.started
	a.server.loads.update(time.Now(), "agent-b", limit.Load{Limit: 5})
	res, _ := call(t, "POST", a.url, "order", HeaderTimeout, "100")
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	require.Zero(t, other.target.hits.Load())
	text := other.server.issue(1)[0].String()
	res, _ = call(t, "POST", a.url, "order", HeaderTicket, text)
	require.Equal(t, string(refusal.ReasonWrongService), res.Header.Get(HeaderReason))
	require.Zero(t, other.target.hits.Load())
}

func TestTicketsAreIssuedWhereSlotsAreFree(t *testing.T) {
	a, b := newAgentPair(t)
	submitAsync(t, a.url, a.server.issue(1)[0].String())
	<-a.target.started
	a.server.loads.update(time.Now(), "agent-b", limit.Load{Limit: 1})
	issuers := make(map[string]int)
	for _, k := range a.server.placeTickets(context.Background(), 3) {
		issuers[k.Issuer]++
	}
	require.Equal(t, map[string]int{"agent-a": 1, "agent-b": 2}, issuers)
	require.Equal(t, 2, b.server.book.Size())
}

func TestPeerThatDiesAfterTheStartLeavesTheOutcomeUnknown(t *testing.T) {
	a, b := newAgentPair(t)
	issued := b.server.issue(1)[0].String()
	done := make(chan *http.Response, 1)
	go func() {
		res, err := http.DefaultClient.Do(newTicketRequest(a.url, issued))
		if err == nil {
			_ = res.Body.Close()
		}
		done <- res
	}()
	<-b.target.started
	require.NoError(t, b.server.Close())
	res := <-done
	require.NotNil(t, res)
	require.Equal(t, "unknown", res.Header.Get(HeaderRun))
	require.Empty(t, res.Header.Get(HeaderSubmission))
}

func newTicketRequest(url, text string) *http.Request {
	req, err := http.NewRequest("POST", url, http.NoBody)
	if err != nil {
		panic(err) // the test's own URL
	}
	req.Header.Set(HeaderTicket, text)
	return req
}

func FuzzDecodeLoad(f *testing.F) {
	f.Add(encodeLoad(limit.Load{Busy: 1, Limit: 3, Waiting: 2, Hold: time.Second}))
	f.Add("busy=-1&limit=2")
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := decodeLoad(text); ok {
			again, ok := decodeLoad(encodeLoad(l))
			require.True(t, ok)
			require.Equal(t, l, again)
		}
	})
}

func TestSampleIsBounded(t *testing.T) {
	var peers []Peer
	for i := range 3300 {
		peers = append(peers, Peer{Control: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
	}
	require.Len(t, samplePeers(peers), sampleSize)
	require.Len(t, samplePeers(peers[:3]), 3)
}
