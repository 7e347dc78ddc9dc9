package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
	"github.com/auburnwood/auburnwood/pkg/view"
)

var protocols = []string{http1, http2}

// startDrain requests the drain of a target and returns once its agent has begun it.
func (l *requestLab) startDrain(t *target) {
	l.t.Helper()
	l.c.setState(t, view.StateDraining)
	require.NoError(l.t, call(context.Background(), http.MethodPost, "http://"+t.daemon.AnnounceAddr()+agentd.PathDrain, nil))
	require.Eventually(l.t, func() bool { return t.daemon.Load().Limit == 0 }, waitTimeout, time.Millisecond)
}

// awaitEnded waits until the agent of a draining target has ended, within waitTimeout, which is well below the drain
// time of the service.
func (l *requestLab) awaitEnded(t *target) {
	l.t.Helper()
	select {
	case <-t.ended:
	case <-time.After(waitTimeout):
		l.t.Fatalf("the agent of %s has not ended; %d flows", t.id, t.daemon.Agent().OpenFlows())
	}
}

// owner sends a request over a caller's connection and returns the target whose agent owns the connection: while targets
// are idle, each agent uses its own.
func (l *requestLab) owner(c *http.Client, service string) *target {
	l.t.Helper()
	r := l.ask(c, http.MethodPost, service, work("owner", time.Millisecond))
	require.Equal(l.t, http.StatusOK, r.status, r.body)
	t, err := l.c.find(r.header.Get(standin.HeaderTarget))
	require.NoError(l.t, err)
	return t
}

func TestDrainDoesNotWaitForIdleConnections(t *testing.T) {
	l := newRequestLab(t, nil)
	for _, protocol := range protocols {
		for range 4 {
			l.owner(l.caller(protocol), routeService)
		}
	}
	victim := l.owner(l.caller(http1), routeService)
	l.startDrain(victim)
	l.awaitEnded(victim)
}

func TestDrainCutsNoRequestInProgress(t *testing.T) {
	t.Parallel()
	for _, protocol := range protocols {
		t.Run(protocol, func(t *testing.T) {
			l := newRequestLab(t, nil)
			c := l.caller(protocol)
			victim := l.owner(c, routeService)
			done := make(chan reply, 1)
			go func() { done <- l.tryAsk(c, work("long", time.Second)) }()
			l.awaitRun("long")
			l.startDrain(victim)
			r := <-done
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, victim.id, r.header.Get(standin.HeaderTarget))
			if protocol == http1 {
				require.True(t, r.close)
			}
			l.awaitEnded(victim)
			require.Equal(t, 1, l.ran("long"))
		})
	}
}

// tryAsk is ask for goroutines other than the test's: it returns an error as the body of the reply.
func (l *requestLab) tryAsk(c *http.Client, path string, headers ...string) reply {
	r, err := ask(c, http.MethodPost, l.address(routeService)+path, headers...)
	if err != nil {
		r.body = err.Error()
	}
	return r
}

func TestDrainRefusesWaitingRequestsWithoutAPeer(t *testing.T) {
	l := newRequestLab(t, nil)
	victim := l.c.targets[len(l.c.targets)-1]
	replies := map[string]chan reply{"running": make(chan reply, 1), "waiting": make(chan reply, 1)}
	for i, id := range []string{"running", "waiting"} {
		c := l.caller(http1)
		go func() {
			r, _ := ask(c, http.MethodPost, l.address(reportsService)+work(id, time.Second))
			replies[id] <- r
		}()
		require.Eventually(t, func() bool { return victim.daemon.Load().Busy+victim.daemon.Load().Waiting == i+1 }, waitTimeout, time.Millisecond)
	}
	l.startDrain(victim)
	r := <-replies["waiting"]
	p := r.problem(t)
	require.Equal(t, refusal.ReasonDraining, p.Reason)
	require.Equal(t, refusal.RunNo, p.Run)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, 0, l.ran("waiting"))
	require.Equal(t, http.StatusOK, (<-replies["running"]).status)
	l.awaitEnded(victim)
	require.Equal(t, 0, l.ran("waiting"))
}

func TestDrainWaitsForWorkOfOtherAgents(t *testing.T) {
	// The draining agent has no caller connection, only work forwarded by another agent that takes longer than all of
	// the agent's linger times.
	l := newRequestLab(t, nil)
	const longWork = 8 * time.Second
	c := l.caller(http1)
	own := l.owner(c, routeService)
	var victim *target
	var spent string
	require.Eventually(t, func() bool {
		spent = l.tickets(c, routeService, 1)[0]
		victim = l.issuer(spent)
		return victim != own
	}, waitTimeout, time.Millisecond)
	done := make(chan reply, 1)
	go func() { done <- l.tryAsk(c, work("handed", longWork), request.HeaderTicket, spent) }()
	l.awaitRun("handed")
	l.startDrain(victim)
	r := <-done
	require.Equal(t, http.StatusOK, r.status, r.body)
	l.awaitEnded(victim)
	require.Equal(t, 1, l.ran("handed"))
}

func TestTicketsOfADrainingAgentAreSpent(t *testing.T) {
	l := newRequestLab(t, nil)
	tickets := l.tickets(l.caller(http1), routeService, 6)
	victim := l.issuer(tickets[0])
	l.startDrain(victim)
	for i, text := range tickets {
		id := fmt.Sprintf("late-%d", i)
		r := l.ask(l.caller(http1), http.MethodPost, routeService, work(id, time.Millisecond), request.HeaderTicket, text)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.NotEqual(t, victim.id, r.header.Get(standin.HeaderTarget), "the draining target gets no new work")
		require.Equal(t, 1, l.ran(id))
	}
}

func TestRequestsOnADrainingAgent(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		service string
		status  int
	}{
		"a peer takes it": {routeService, http.StatusOK},
		"there is none":   {reportsService, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		for _, protocol := range protocols {
			t.Run(name+" "+protocol, func(t *testing.T) {
				l := newRequestLab(t, nil)
				c := l.caller(protocol)
				victim := l.owner(c, tt.service)
				l.startDrain(victim)
				r, err := ask(c, http.MethodPost, l.address(tt.service)+work("after", time.Millisecond))
				if err != nil {
					// GOAWAY made the caller open a new connection, for which there is no target.
					require.Equal(t, http2, protocol)
					require.NotEqual(t, http.StatusOK, tt.status)
					require.ErrorContains(t, err, "refused")
					require.Zero(t, l.ran("after"))
					return
				}
				require.Equal(t, tt.status, r.status, r.body)
				if protocol == http1 {
					require.True(t, r.close, "the response asks the caller to open a new connection")
				}
				if tt.status == http.StatusOK {
					require.NotEqual(t, victim.id, r.header.Get(standin.HeaderTarget))
					require.Equal(t, 1, l.ran("after"))
				} else {
					p := r.problem(t)
					require.Equal(t, refusal.ReasonDraining, p.Reason)
					require.Equal(t, refusal.RunNo, p.Run)
					require.NotEmpty(t, r.header.Get("Retry-After"))
					require.Zero(t, l.ran("after"))
				}
				l.awaitEnded(victim)
			})
		}
	}
}

// TestContinuousRequestsDuringDrain has callers send requests continuously, each over one connection, while one of their
// agents drains.
func TestContinuousRequestsDuringDrain(t *testing.T) {
	t.Parallel()
	for _, protocol := range protocols {
		t.Run(protocol, func(t *testing.T) {
			l := newRequestLab(t, nil)
			run, stop := context.WithCancel(context.Background())
			defer stop()
			var done sync.WaitGroup
			var asked atomic.Int64
			for i := range 6 {
				c := l.caller(protocol)
				done.Go(func() {
					for n := 0; run.Err() == nil; n++ {
						id := fmt.Sprintf("w-%d-%d", i, n)
						r, err := ask(c, http.MethodPost, l.address(routeService)+work(id, time.Millisecond))
						asked.Add(1)
						if why := l.mismatch(id, r, err); why != "" {
							t.Errorf("%s: %s", id, why)
						}
						// Some callers pause for about the idle timeout, so that requests race with the close of the connection.
						if i%2 == 0 {
							time.Sleep(time.Duration(990+10*(n%5)) * time.Millisecond)
						}
					}
				})
			}
			victim := l.owner(l.caller(http1), routeService)
			l.startDrain(victim)
			l.awaitEnded(victim)
			stop()
			done.Wait()
			require.Greater(t, asked.Load(), int64(100))
		})
	}
}

// mismatch compares a caller's result with the journal: a refusal must say that this submission was not run.
func (l *requestLab) mismatch(id string, r reply, err error) string {
	ran := l.ran(id)
	switch {
	case err != nil:
		return err.Error()
	case r.status == http.StatusOK && ran == 1:
		return ""
	case r.header.Get(request.HeaderRun) == string(refusal.RunNo) && ran == 0:
		return ""
	case r.header.Get(request.HeaderSubmission) == string(refusal.RunNo) && ran == 0:
		return ""
	}
	return fmt.Sprintf("status %d, ran %d times: %s", r.status, ran, r.body)
}

// rawCaller opens a TCP connection without an HTTP client, which exposes each byte and each reset.
func (l *requestLab) rawCaller(service string) net.Conn {
	l.t.Helper()
	l.callers++
	for _, s := range l.c.cfg.Deployment.Services {
		if s.Name == service {
			caller := l.fabric.NewCaller(netip.AddrFrom4([4]byte{10, 9, 0, l.callers}))
			conn, err := caller.DialContext(context.Background(), "tcp", fmt.Sprintf("%s:%d", s.Address.IP, s.Address.Port))
			require.NoError(l.t, err)
			require.NoError(l.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			l.t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
	}
	l.t.Fatalf("no service %s", service)
	return nil
}

func rawWork(id string, takes time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: service\r\nContent-Length: 0\r\n\r\n", work(id, takes))
}

func readReply(t *testing.T, b *bufio.Reader) reply {
	t.Helper()
	resp, err := http.ReadResponse(b, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), close: resp.Close}
}

func requireEnd(t *testing.T, b *bufio.Reader) {
	t.Helper()
	_, err := b.ReadByte()
	require.Equal(t, io.EOF, err, "the connection ends without a reset")
}

func TestPipelinedRequestAfterTheLastAnswer(t *testing.T) {
	l := newRequestLab(t, nil)
	conn := l.rawCaller(reportsService)
	b := bufio.NewReader(conn)
	_, err := io.WriteString(conn, rawWork("first", 300*time.Millisecond))
	require.NoError(t, err)
	l.awaitRun("first")
	l.startDrain(l.c.targets[len(l.c.targets)-1])
	// These arrive while the first request runs, and are unread when the connection closes after its response.
	for i := range 200 {
		_, err = io.WriteString(conn, rawWork(fmt.Sprintf("next-%d", i), time.Millisecond))
		require.NoError(t, err)
	}
	r := readReply(t, b)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.True(t, r.close)
	requireEnd(t, b)
	require.Zero(t, l.ran("next-0"))
}

func TestIdleConnectionOfDrainingAgentGetsReason(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// first is sent and answered before the drain; racing is sent after the 408 response has arrived but is unread.
		first, racing bool
	}{
		"never used":      {},
		"idle":            {first: true},
		"request on race": {first: true, racing: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newRequestLab(t, nil)
			conn := l.rawCaller(reportsService)
			b := bufio.NewReader(conn)
			if tt.first {
				_, err := io.WriteString(conn, rawWork("first", time.Millisecond))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, readReply(t, b).status)
			}
			victim := l.c.targets[len(l.c.targets)-1]
			l.startDrain(victim)
			_, err := b.Peek(1)
			require.NoError(t, err)
			if tt.racing {
				// The caller sends its next request before it reads the response that has arrived.
				_, err := io.WriteString(conn, rawWork("racing", time.Millisecond))
				require.NoError(t, err)
			}
			r := readReply(t, b)
			require.Equal(t, http.StatusRequestTimeout, r.status)
			require.True(t, r.close)
			p := r.problem(t)
			require.Equal(t, refusal.RunNo, p.Submission)
			require.Equal(t, refusal.RunUnknown, p.Run, "a request in flight may repeat work that has run")
			requireEnd(t, b)
			require.NoError(t, conn.Close())
			require.Zero(t, l.ran("racing"))
			l.awaitEnded(victim)
			require.Equal(t, refusal.ReasonDraining, l.storedRecord(p.Instance).Reason)
		})
	}
}

// TestDrainDoesNotWaitForCallersThatKeepClosedConnections has a caller that does not close its idle connection when the
// agent has closed it.
func TestDrainDoesNotWaitForCallersThatKeepClosedConnections(t *testing.T) {
	l := newRequestLab(t, nil)
	conn := l.rawCaller(reportsService)
	b := bufio.NewReader(conn)
	_, err := io.WriteString(conn, rawWork("first", time.Millisecond))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, readReply(t, b).status)
	victim := l.c.targets[len(l.c.targets)-1]
	l.startDrain(victim)
	l.awaitEnded(victim)
	require.Equal(t, http.StatusRequestTimeout, readReply(t, b).status)
	require.NoError(t, conn.Close())
	for _, r := range l.c.Refusals() {
		require.Equal(t, refusal.ReasonDraining, r.Reason, r.Detail)
	}
}

func TestJoinedAgentGetsAndGivesWork(t *testing.T) {
	l := newRequestLab(t, func(c *flows.ClusterConfig) { c.Deployment.Services[0].Targets = 1 })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	joined, err := l.c.JoinTarget(ctx, routeService)
	require.NoError(t, err)
	c := l.caller(http1)
	require.Eventually(t, func() bool {
		for _, text := range l.tickets(c, routeService, 4) {
			if l.issuer(text).id == joined {
				return true
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond, "tickets of the joined agent")
	for _, old := range l.c.targets {
		if old.service == routeService && old.id != joined {
			l.startDrain(old)
			l.awaitEnded(old)
		}
	}
	r := l.ask(l.caller(http1), http.MethodPost, routeService, work("after", time.Millisecond))
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, joined, r.header.Get(standin.HeaderTarget))
}
