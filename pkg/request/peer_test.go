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

// member is one agent of a test, with its target.
type member struct {
	server *Server
	gate   *gate
	url    string
	peer   Peer
	peers  *testPeers
}

func newMember(t *testing.T, name string, change func(*Options)) *member {
	t.Helper()
	m := &member{gate: newGate(), peers: &testPeers{}}
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

func newPair(t *testing.T) (*member, *member) {
	t.Helper()
	a, b := newMember(t, "agent-a", nil), newMember(t, "agent-b", nil)
	a.peers.set(b.peer)
	b.peers.set(a.peer)
	return a, b
}

func TestTicketRunsAtItsIssuerWhicheverAgentGetsIt(t *testing.T) {
	a, b := newPair(t)
	issued := b.server.issue(1)[0].String()
	b.gate.leave <- struct{}{}
	for range 2 {
		res, body := call(t, "POST", a.url+"/orders", "order", HeaderTicket, issued)
		require.Equal(t, 200, res.StatusCode, body)
		require.Equal(t, "aaaaaaaaaa", body)
		require.Empty(t, res.Header.Get(headerLoad))
	}
	require.EqualValues(t, 1, b.gate.hits.Load())
	require.Zero(t, a.gate.hits.Load())
	require.Equal(t, RunYes, stateOf(t, a.url, issued).Run)
}

func TestTicketOfAnAgentThatIsGoneIsNeverRun(t *testing.T) {
	a, b := newPair(t)
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
			a, b := newPair(t)
			submitAndForget(t, a.url, a.server.issue(1)[0].String())
			<-a.gate.began
			b.gate.leave <- struct{}{}
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
	a, b := newPair(t)
	submitAndForget(t, a.url, a.server.issue(1)[0].String())
	submitAndForget(t, b.url, b.server.issue(1)[0].String())
	<-a.gate.began
	<-b.gate.began
	a.server.loads.learn(time.Now(), "agent-b", limit.Load{Limit: 1})
	text := a.server.issue(1)[0].String()
	submitAndForget(t, a.url, text)
	require.Eventually(t, func() bool { return stateOf(t, a.url, text).State == "waiting" }, 5*time.Second, time.Millisecond)
	a.gate.leave <- struct{}{}
	<-a.gate.began
	a.gate.leave <- struct{}{}
	require.Eventually(t, func() bool { return stateOf(t, a.url, text).Run == RunYes }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 2, a.gate.hits.Load())
	require.EqualValues(t, 1, b.gate.hits.Load())
}

func TestDrainSteersTheWaitingAndEndsTheRunning(t *testing.T) {
	a, b := newPair(t)
	running, waiting := a.server.issue(1)[0].String(), a.server.issue(1)[0].String()
	submitAndForget(t, a.url, running)
	<-a.gate.began
	b.server.draining.Store(true) // so that nothing is steered before
	b.server.limiter.Close()
	submitAndForget(t, a.url, waiting)
	require.Eventually(t, func() bool { return stateOf(t, a.url, waiting).State == "waiting" }, 5*time.Second, time.Millisecond)
	c := newMember(t, "agent-c", nil)
	a.peers.set(c.peer)
	c.gate.leave <- struct{}{}
	drained := make(chan error, 1)
	go func() { drained <- a.server.Drain(context.Background()) }()
	<-c.gate.began
	c.gate.leave <- struct{}{}
	require.Eventually(t, func() bool { return c.server.Load().Busy == 0 }, 5*time.Second, time.Millisecond)
	res, _ := call(t, "POST", a.url, "order") // new work goes elsewhere
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 2, c.gate.hits.Load())
	a.peers.set()
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, string(refusal.ReasonDraining), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	a.gate.leave <- struct{}{}
	require.NoError(t, <-drained)
	require.Equal(t, RunYes, stateOf(t, a.url, running).Run)
	require.Equal(t, RunYes, stateOf(t, a.url, waiting).Run)
	require.EqualValues(t, 1, a.gate.hits.Load())
}

func TestRequestsOfAnEvacuatedDataCentreGoToPeers(t *testing.T) {
	a, b := newPair(t)
	running := a.server.issue(1)[0].String()
	submitAndForget(t, a.url, running)
	<-a.gate.began
	a.server.SetEvacuated(true)
	b.gate.leave <- struct{}{}
	res, _ := call(t, "POST", a.url, "order")
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 1, b.gate.hits.Load())
	a.peers.set()
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, string(refusal.ReasonEvacuated), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	a.gate.leave <- struct{}{}
	require.Eventually(t, func() bool { return stateOf(t, a.url, running).Run == RunYes }, 5*time.Second, time.Millisecond)
	a.server.SetEvacuated(false)
	a.gate.leave <- struct{}{}
	res, _ = call(t, "POST", a.url, "order")
	require.Equal(t, 200, res.StatusCode)
	require.EqualValues(t, 2, a.gate.hits.Load())
}

func TestAgentOfAnotherServiceRefuses(t *testing.T) {
	a := newMember(t, "agent-a", nil)
	other := newMember(t, "agent-b", func(o *Options) { o.Service = "reports-svc" })
	a.peers.set(other.peer)
	submitAndForget(t, a.url, a.server.issue(1)[0].String())
	<-a.gate.began
	a.server.loads.learn(time.Now(), "agent-b", limit.Load{Limit: 5})
	res, _ := call(t, "POST", a.url, "order", HeaderTimeout, "100")
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	require.Zero(t, other.gate.hits.Load())
	text := other.server.issue(1)[0].String()
	res, _ = call(t, "POST", a.url, "order", HeaderTicket, text)
	require.Equal(t, string(refusal.ReasonWrongService), res.Header.Get(HeaderReason))
	require.Zero(t, other.gate.hits.Load())
}

func TestTicketsAreIssuedWhereSlotsAreFree(t *testing.T) {
	a, b := newPair(t)
	submitAndForget(t, a.url, a.server.issue(1)[0].String())
	<-a.gate.began
	a.server.loads.learn(time.Now(), "agent-b", limit.Load{Limit: 1})
	issuers := make(map[string]int)
	for _, k := range a.server.placeTickets(context.Background(), 3) {
		issuers[k.Issuer]++
	}
	require.Equal(t, map[string]int{"agent-a": 1, "agent-b": 2}, issuers)
	require.Equal(t, 2, b.server.book.Size())
}

func TestPeerThatDiesAfterTheStartLeavesTheOutcomeUnknown(t *testing.T) {
	a, b := newPair(t)
	issued := b.server.issue(1)[0].String()
	done := make(chan *http.Response, 1)
	go func() {
		res, err := http.DefaultClient.Do(newTicketRequest(a.url, issued))
		if err == nil {
			_ = res.Body.Close()
		}
		done <- res
	}()
	<-b.gate.began
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
	require.Len(t, sample(peers), sampleSize)
	require.Len(t, sample(peers[:3]), 3)
}
