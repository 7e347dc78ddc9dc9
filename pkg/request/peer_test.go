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

// testPeers is a mutable Peers.
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

// testAgent is an agent with its target.
type testAgent struct {
	server *Server
	gate   *gate
	url    string
	peer   Peer
	peers  *testPeers
}

func newTestAgent(t *testing.T, name string, change func(*Options)) *testAgent {
	t.Helper()
	m := &testAgent{gate: newGate(), peers: &testPeers{}}
	m.server, m.url = newTestServer(t, m.gate, func(o *Options) {
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
	b.gate.release <- struct{}{}
	for range 2 {
		res, body := call(t, "POST", a.url+"/orders", "order", HeaderTicket, issued)
		require.Equal(t, 200, res.StatusCode, body)
		require.Equal(t, "aaaaaaaaaa", body)
		require.Empty(t, res.Header.Get(headerLoad))
	}
	require.EqualValues(t, 1, b.gate.hits.Load())
	require.Zero(t, a.gate.hits.Load())
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
	require.Zero(t, a.gate.hits.Load())
}

func TestWaitingRequestIsSteeredToAFreeTarget(t *testing.T) {
	for _, kind := range []string{"plain", "ticket"} {
		t.Run(kind, func(t *testing.T) {
			a, b := newAgentPair(t)
			submitAsync(t, a.url, a.server.issue(1)[0].String())
			<-a.gate.started
			b.gate.release <- struct{}{}
			var headers []string
			if kind == "ticket" {
				headers = []string{HeaderTicket, a.server.issue(1)[0].String()}
			}
			res, _ := call(t, "POST", a.url, "order", headers...)
			require.Equal(t, 200, res.StatusCode)
			require.EqualValues(t, 1, a.gate.hits.Load())
			require.EqualValues(t, 1, b.gate.hits.Load())
		})
	}
}

func TestBusyPeerDeclinesAndTheRequestWaits(t *testing.T) {
	a, b := newAgentPair(t)
	submitAsync(t, a.url, a.server.issue(1)[0].String())
	submitAsync(t, b.url, b.server.issue(1)[0].String())
	<-a.gate.started
	<-b.gate.started
	a.server.loads.updateLoad(time.Now(), "agent-b", limit.Load{Limit: 1})
	text := a.server.issue(1)[0].String()
	submitAsync(t, a.url, text)
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, text).State == "waiting" }, 5*time.Second, time.Millisecond)
	a.gate.release <- struct{}{}
	<-a.gate.started
	a.gate.release <- struct{}{}
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, text).Run == RunYes }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 2, a.gate.hits.Load())
	require.EqualValues(t, 1, b.gate.hits.Load())
}

func TestDrainSteersTheWaitingAndEndsTheRunning(t *testing.T) {
	a, b := newAgentPair(t)
	running, waiting := a.server.issue(1)[0].String(), a.server.issue(1)[0].String()
	submitAsync(t, a.url, running)
	<-a.gate.started
	b.server.draining.Store(true) // prevents steering before Drain
	b.server.limiter.Close()
	submitAsync(t, a.url, waiting)
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, waiting).State == "waiting" }, 5*time.Second, time.Millisecond)
	c := newTestAgent(t, "agent-c", nil)
	a.peers.set(c.peer)
	c.gate.release <- struct{}{}
	drained := make(chan error, 1)
	go func() { drained <- a.server.Drain(context.Background()) }()
	<-c.gate.started
	c.gate.release <- struct{}{}
	require.Eventually(t, func() bool { return c.server.Load().Busy == 0 }, 5*time.Second, time.Millisecond)
	res, _ := call(t, "POST", a.url, "order") // new work goes elsewhere
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 2, c.gate.hits.Load())
	a.peers.set()
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, string(refusal.ReasonDraining), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	a.gate.release <- struct{}{}
	require.NoError(t, <-drained)
	require.Equal(t, RunYes, ticketStatusOf(t, a.url, running).Run)
	require.Equal(t, RunYes, ticketStatusOf(t, a.url, waiting).Run)
	require.EqualValues(t, 1, a.gate.hits.Load())
}

func TestRequestsOfAnEvacuatedDataCentreGoToPeers(t *testing.T) {
	a, b := newAgentPair(t)
	running := a.server.issue(1)[0].String()
	submitAsync(t, a.url, running)
	<-a.gate.started
	a.server.SetEvacuated(true)
	b.gate.release <- struct{}{}
	res, _ := call(t, "POST", a.url, "order")
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 1, b.gate.hits.Load())
	a.peers.set()
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, string(refusal.ReasonEvacuated), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	a.gate.release <- struct{}{}
	require.Eventually(t, func() bool { return ticketStatusOf(t, a.url, running).Run == RunYes }, 5*time.Second, time.Millisecond)
	a.server.SetEvacuated(false)
	a.gate.release <- struct{}{}
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 2, a.gate.hits.Load())
}

func TestAgentOfAnotherServiceRefuses(t *testing.T) {
	a := newTestAgent(t, "agent-a", nil)
	other := newTestAgent(t, "agent-b", func(o *Options) { o.Service = "reports-svc" })
	a.peers.set(other.peer)
	submitAsync(t, a.url, a.server.issue(1)[0].String())
	<-a.gate.started
	a.server.loads.updateLoad(time.Now(), "agent-b", limit.Load{Limit: 5})
	res, _ := call(t, "POST", a.url, "order", HeaderTimeout, "100")
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	require.Zero(t, other.gate.hits.Load())
	text := other.server.issue(1)[0].String()
	res, _ = call(t, "POST", a.url, "order", HeaderTicket, text)
	require.Equal(t, string(refusal.ReasonWrongService), res.Header.Get(HeaderReason))
	require.Zero(t, other.gate.hits.Load())
}

func TestTicketsAreIssuedWhereSlotsAreFree(t *testing.T) {
	a, b := newAgentPair(t)
	submitAsync(t, a.url, a.server.issue(1)[0].String())
	<-a.gate.started
	a.server.loads.updateLoad(time.Now(), "agent-b", limit.Load{Limit: 1})
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
	<-b.gate.started
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
