package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/ticket"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Protocols of the callers.
const (
	http1 = "HTTP/1.1"
	http2 = "h2c"
)

const (
	routeService   = "route-svc"
	reportsService = "reports-svc"
	// waitTimeout bounds every wait of these tests.
	waitTimeout = 20 * time.Second
)

// requestLab is an installation in request mode.
type requestLab struct {
	t       testing.TB
	c       *Cluster
	fabric  *fabric.Fabric
	journal *standin.Journal
	callers byte
}

// labSlots limits concurrent installations, so that object API calls and callers do not time out on a small machine.
var labSlots = make(chan struct{}, 6)

// newRequestLab starts two services; edit may change the configuration first.
func newRequestLab(t *testing.T, edit func(*flows.ClusterConfig)) *requestLab {
	t.Helper()
	t.Parallel()
	labSlots <- struct{}{}
	t.Cleanup(func() { <-labSlots })
	return startRequestLab(t, edit)
}

func startRequestLab(t testing.TB, edit func(*flows.ClusterConfig)) *requestLab {
	t.Helper()
	f, err := fabric.New(fabric.Config{Seed: 1})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	l := &requestLab{t: t, fabric: f, journal: &standin.Journal{}}
	cfg := flows.ClusterConfig{
		Deployment: flows.Deployment{
			Name: "test", Region: "amman-east", DataCentres: []string{"marka-hall", "zarqa-hall"},
			Services: []flows.ServiceSize{
				{Name: routeService, Address: resource.Address{IP: "198.51.100.1", Port: 80}, Targets: 3, Slots: 2},
				{Name: reportsService, Address: resource.Address{IP: "198.51.100.2", Port: 80}, Targets: 1, Slots: 1},
			},
			Preference: resource.PreferBalance,
		},
		Connections: map[string]uint32{routeService: 500, reportsService: 500},
		Balancers:   2, Fabric: f, Seed: 1, Mode: resource.ModeRequest, Journal: l.journal, Log: zerolog.Nop(),
	}
	if edit != nil {
		edit(&cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c, err := New(ctx, cfg)
	require.NoError(t, err)
	l.c = c.(*Cluster)
	t.Cleanup(l.c.Close)
	return l
}

// caller returns a new caller with an HTTP client of its own.
func (l *requestLab) caller(protocol string) *http.Client {
	l.callers++
	transport := &http.Transport{DialContext: l.fabric.NewCaller(netip.AddrFrom4([4]byte{10, 9, 0, l.callers})).DialContext}
	if protocol == http2 {
		transport.Protocols = &http.Protocols{}
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	l.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: waitTimeout}
}

func (l *requestLab) address(service string) string {
	for _, s := range l.c.cfg.Deployment.Services {
		if s.Name == service {
			return fmt.Sprintf("http://%s:%d", s.Address.IP, s.Address.Port)
		}
	}
	l.t.Fatalf("no service %s", service)
	return ""
}

// reply is a response that was read completely.
type reply struct {
	status int
	header http.Header
	body   string
	close  bool
}

func (r reply) problem(t *testing.T) request.Problem {
	t.Helper()
	require.Equal(t, request.ProblemType, r.header.Get("Content-Type"), "status %d: %s", r.status, r.body)
	var p request.Problem
	require.NoError(t, json.Unmarshal([]byte(r.body), &p))
	require.Equal(t, r.status, p.Status)
	require.Equal(t, r.header.Get(request.HeaderRecord), p.Instance)
	require.Equal(t, r.header.Get(request.HeaderRun), string(p.Run))
	require.Equal(t, r.header.Get(request.HeaderReason), string(p.Reason))
	return p
}

// ask sends one request and reads the whole response. It may be called from any goroutine.
func ask(c *http.Client, method, url string, headers ...string) (reply, error) {
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		return reply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), close: resp.Close}, err
}

func (l *requestLab) ask(c *http.Client, method, service, path string, headers ...string) reply {
	l.t.Helper()
	r, err := ask(c, method, l.address(service)+path, headers...)
	require.NoError(l.t, err)
	return r
}

func work(id string, takes time.Duration) string {
	return fmt.Sprintf("%s?id=%s&takes=%s", standin.PathWork, id, takes)
}

// ran returns how often the targets ran the work.
func (l *requestLab) ran(id string) int {
	n := 0
	for _, r := range l.journal.Runs() {
		if r.ID == id {
			n++
		}
	}
	return n
}

func (l *requestLab) awaitRun(id string) {
	l.t.Helper()
	require.Eventually(l.t, func() bool { return l.ran(id) > 0 }, waitTimeout, time.Millisecond)
}

func (l *requestLab) tickets(c *http.Client, service string, n int) []string {
	l.t.Helper()
	r := l.ask(c, http.MethodPost, service, fmt.Sprintf("/.well-known/auburnwood/tickets?n=%d", n))
	require.Equal(l.t, http.StatusOK, r.status, r.body)
	var list request.TicketList
	require.NoError(l.t, json.Unmarshal([]byte(r.body), &list))
	require.Len(l.t, list.Tickets, n)
	return list.Tickets
}

// issuer returns the agent that issued a ticket.
func (l *requestLab) issuer(text string) *target {
	l.t.Helper()
	parsed, err := ticket.Parse(text)
	require.NoError(l.t, err)
	issuer, err := l.c.find(parsed.Issuer)
	require.NoError(l.t, err)
	return issuer
}

// storedRecord waits until a refusal record is found in the object API.
func (l *requestLab) storedRecord(id string) refusal.Record {
	l.t.Helper()
	reader := refusal.NewReader(l.c.Store())
	var found refusal.Record
	require.Eventually(l.t, func() bool {
		now := time.Now()
		a, err := reader.Find(context.Background(), refusal.Query{From: now.Add(-time.Minute), To: now, ID: id})
		if err != nil || len(a.Records) != 1 {
			return false
		}
		found = a.Records[0]
		return true
	}, waitTimeout, 50*time.Millisecond, "record %s", id)
	return found
}

func TestAnswersCompleteAndFromRightService(t *testing.T) {
	l := newRequestLab(t, nil)
	const flow, size = "f1", 300_000
	for _, protocol := range []string{http1, http2} {
		var done sync.WaitGroup
		for range 8 {
			c := l.caller(protocol)
			for _, service := range []string{routeService, reportsService} {
				done.Go(func() {
					for i := range 4 {
						url := fmt.Sprintf("%s%s?flow=%s-%d&size=%d", l.address(service), standin.PathDownload, flow, i, size)
						r, err := ask(c, http.MethodGet, url)
						if err != nil || r.status != http.StatusOK || len(r.body) != size {
							t.Errorf("%s %s: status %d, %d bytes, %v", protocol, service, r.status, len(r.body), err)
							return
						}
						if r.header.Get(standin.HeaderService) != service {
							t.Errorf("%s answered for %s", r.header.Get(standin.HeaderService), service)
						}
						if _, err := io.WriteString(standin.NewChecker(service, fmt.Sprintf("%s-%d", flow, i)), r.body); err != nil {
							t.Errorf("%s %s: %v", protocol, service, err)
						}
					}
				})
			}
		}
		done.Wait()
	}
}

func TestTicketsAreSpentAtTheirIssuer(t *testing.T) {
	l := newRequestLab(t, nil)
	taker := l.caller(http1)
	var tickets []string
	issuers := map[string]bool{}
	// An agent receives its list of peers shortly after it begins to serve.
	require.Eventually(t, func() bool {
		tickets = l.tickets(taker, routeService, 6)
		for _, text := range tickets {
			issuers[l.issuer(text).id] = true
		}
		return len(issuers) > 1
	}, waitTimeout, 50*time.Millisecond, "tickets are spread over the agents")
	for i, text := range tickets {
		id := fmt.Sprintf("ticket-%d", i)
		// Each submission comes over a new connection, which any agent may own.
		for n, protocol := range []string{http1, http2, http1} {
			r := l.ask(l.caller(protocol), http.MethodPost, routeService, work(id, time.Millisecond), request.HeaderTicket, text)
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, n > 0, r.header.Get(request.HeaderRepeated) == "true")
		}
		require.Equal(t, 1, l.ran(id))
	}
	forwarded := l.c.scope.Snapshot().Counters()["request_forward+"]
	require.NotNil(t, forwarded, "a ticket was submitted at another agent than its issuer")
}

func TestClaimsDuringStoreOutage(t *testing.T) {
	l := newRequestLab(t, nil)
	const key, second = "manifest-0123456789abcdef", "manifest-fedcba9876543210"
	for n := range 3 {
		var r reply
		// On a busy machine an object API call may time out; the claim is then refused and the work not run.
		require.Eventually(t, func() bool {
			r = l.ask(l.caller(http1), http.MethodPost, routeService, work("claimed", time.Millisecond), request.HeaderKey, key)
			return r.status == http.StatusOK || r.problem(t).Reason != refusal.ReasonClaimStore
		}, waitTimeout, 10*time.Millisecond)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, n > 0, r.header.Get(request.HeaderRepeated) == "true")
	}
	require.Equal(t, 1, l.ran("claimed"))
	l.c.StoreDown(true)
	r := l.ask(l.caller(http1), http.MethodPost, routeService, work("unclaimed", time.Millisecond), request.HeaderKey, second)
	p := r.problem(t)
	require.Equal(t, refusal.ReasonClaimStore, p.Reason)
	require.Equal(t, refusal.RunNo, p.Run)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, l.ran("unclaimed"))
	l.c.StoreDown(false)
	require.Eventually(t, func() bool {
		r := l.ask(l.caller(http1), http.MethodPost, routeService, work("unclaimed", time.Millisecond), request.HeaderKey, second)
		return r.status == http.StatusOK
	}, waitTimeout, 50*time.Millisecond)
	require.Equal(t, 1, l.ran("unclaimed"))
}

func TestTargetShedIsRefusedAsNotRun(t *testing.T) {
	// The stand-in sheds all work beyond its only slot, while two slots are announced to the agent.
	l := newRequestLab(t, func(c *flows.ClusterConfig) {
		c.Deployment.Services[1].Slots = 2
		c.Target = func(c *standin.Config) { c.Slots = 1 }
	})
	first := make(chan reply, 1)
	c := l.caller(http1)
	go func() {
		r, _ := ask(c, http.MethodPost, l.address(reportsService)+work("first", 500*time.Millisecond))
		first <- r
	}()
	l.awaitRun("first")
	r := l.ask(l.caller(http1), http.MethodPost, reportsService, work("second", time.Millisecond))
	p := r.problem(t)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, refusal.ReasonTargetShed, p.Reason)
	require.Equal(t, refusal.RunNo, p.Run)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, l.ran("second"))
	require.Equal(t, http.StatusOK, (<-first).status)
}

func TestQueueRefusalIsFoundInTheStore(t *testing.T) {
	l := newRequestLab(t, func(c *flows.ClusterConfig) { c.Limits.Queue = 1 })
	running := make(chan reply, 2)
	for _, id := range []string{"running", "waiting"} {
		c := l.caller(http1)
		go func() {
			r, _ := ask(c, http.MethodPost, l.address(reportsService)+work(id, time.Second))
			running <- r
		}()
		if id == "running" {
			l.awaitRun(id)
		}
	}
	server := l.c.targets[len(l.c.targets)-1].daemon
	require.Eventually(t, func() bool { return server.Load().Waiting == 1 }, waitTimeout, time.Millisecond)
	c := l.caller(http1)
	r := l.ask(c, http.MethodPost, reportsService, work("refused", time.Millisecond))
	p := r.problem(t)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, refusal.ReasonQueueFull, p.Reason)
	require.Equal(t, refusal.RunNo, p.Run)
	require.Positive(t, p.RetryAfterMS)
	record := l.storedRecord(p.Instance)
	require.Equal(t, reportsService, record.Service)
	require.Equal(t, refusal.ReasonQueueFull, record.Reason)
	require.Equal(t, refusal.RunNo, record.Run)
	require.Equal(t, fmt.Sprintf("10.9.0.%d", l.callers), record.Caller.Addr().String())
	require.Equal(t, "198.51.100.2:80", record.Destination.String())
	require.NotZero(t, record.Revision)
	require.Equal(t, http.StatusOK, (<-running).status)
	require.Equal(t, http.StatusOK, (<-running).status)
	require.Zero(t, l.ran("refused"))
}

func TestTicketOfAKilledAgentNeverRunsAgain(t *testing.T) {
	l := newRequestLab(t, nil)
	spent := l.tickets(l.caller(http1), routeService, 1)[0]
	victim := l.issuer(spent)
	done := make(chan error, 1)
	c := l.caller(http1)
	go func() {
		_, err := ask(c, http.MethodPost, l.address(routeService)+work("lost", time.Second), request.HeaderTicket, spent)
		done <- err
	}()
	l.awaitRun("lost")
	require.NoError(t, l.c.KillAgent(victim.id))
	for range 6 {
		caller := l.caller(http1)
		caller.Timeout = 2 * time.Second
		r, err := ask(caller, http.MethodPost, l.address(routeService)+work("lost", time.Millisecond), request.HeaderTicket, spent)
		if err != nil {
			// The balancers had not yet detected the failure and sent the flow to the killed agent.
			continue
		}
		p := r.problem(t)
		require.Equal(t, refusal.ReasonTicketGone, p.Reason)
		require.Equal(t, refusal.RunUnknown, p.Run)
	}
	require.Equal(t, 1, l.ran("lost"))
}

// apply changes the specification of a service as an operator does.
func (l *requestLab) apply(service string, edit func(*resource.ServiceSpec)) {
	l.t.Helper()
	for _, s := range l.c.Services() {
		if s.Name != service {
			continue
		}
		edit(&s.Spec)
		applier := ctl.Applier{Store: objectapi.NewClient(l.c.APIURL(), objectapi.Options{})}
		_, err := applier.Apply(context.Background(), s)
		require.NoError(l.t, err)
	}
}

func TestChangedLimitsReachTheRunningAgent(t *testing.T) {
	l := newRequestLab(t, func(c *flows.ClusterConfig) {
		c.Deployment.Services[1].Slots = 4
		c.Limits.Slots = 1
	})
	agent := l.c.targets[len(l.c.targets)-1].daemon
	require.Equal(t, 1, agent.Load().Limit)
	c := l.caller(http1)
	before := l.ask(c, http.MethodPost, reportsService, work("before", time.Millisecond))
	require.Equal(t, http.StatusOK, before.status)
	l.apply(reportsService, func(s *resource.ServiceSpec) {
		s.Limits.Slots = 3
		s.Limits.Queue = 1
		s.Limits.Deadline = resource.Duration(2 * time.Second)
	})
	require.Eventually(t, func() bool { return agent.Load().Limit == 3 }, waitTimeout, 10*time.Millisecond)

	// Three run, one waits, and one more is refused.
	var running sync.WaitGroup
	for i := range 4 {
		caller, id := l.caller(http1), fmt.Sprintf("busy-%d", i)
		running.Go(func() {
			r, err := ask(caller, http.MethodPost, l.address(reportsService)+work(id, time.Second))
			if err != nil || r.status != http.StatusOK {
				t.Errorf("%s: status %d %s %v", id, r.status, r.body, err)
			}
		})
		require.Eventually(t, func() bool { return agent.Load().Busy+agent.Load().Waiting == i+1 }, waitTimeout, time.Millisecond)
	}
	r := l.ask(l.caller(http1), http.MethodPost, reportsService, work("over", time.Millisecond))
	require.Equal(t, refusal.ReasonQueueFull, r.problem(t).Reason)
	require.Zero(t, l.ran("over"))
	running.Wait()

	// The new deadline also applies to the connection that was open before the change.
	late := l.ask(c, http.MethodPost, reportsService, work("late", waitTimeout))
	p := late.problem(t)
	require.Equal(t, refusal.ReasonDeadline, p.Reason)
	require.Equal(t, refusal.RunUnknown, p.Run)
	require.Equal(t, 1, l.ran("late"))
}

// TestTicketsOfEarlierIncarnationNeverRun kills an agent and, in one case, restarts it under the same name.
func TestTicketsOfEarlierIncarnationNeverRun(t *testing.T) {
	t.Parallel()
	for name, restart := range map[string]bool{"gone": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			l := newRequestLab(t, nil)
			texts := l.tickets(l.caller(http1), routeService, 6)
			victim := l.issuer(texts[0])
			require.NoError(t, l.c.KillAgent(victim.id))
			if restart {
				l.restart(victim)
			}
			for i, text := range texts {
				issued, err := ticket.Parse(text)
				require.NoError(t, err)
				id := fmt.Sprintf("life-%d", i)
				r := l.askUntilAnswered(work(id, time.Millisecond), request.HeaderTicket, text)
				if issued.Issuer != victim.id {
					require.Equal(t, http.StatusOK, r.status, r.body)
					require.Equal(t, 1, l.ran(id))
					continue
				}
				p := r.problem(t)
				require.Equal(t, refusal.ReasonTicketGone, p.Reason)
				require.Equal(t, refusal.RunUnknown, p.Run)
				require.Zero(t, l.ran(id))
			}
		})
	}
}

// restart starts a new incarnation of an agent with a new target, and waits until the first agent's view has it as active
// and its own view is complete.
func (l *requestLab) restart(old *target) {
	l.t.Helper()
	st, err := standin.Start(standin.Config{Service: old.service, ID: old.id, Slots: 2}, l.journal)
	require.NoError(l.t, err)
	l.t.Cleanup(st.Kill)
	next, err := l.c.runAgent(l.c.agentSettings(old.id, l.c.nextNumber(), st.Addr()), st)
	require.NoError(l.t, err)
	next.service = old.service
	l.c.mu.Lock()
	l.c.targets = append(l.c.targets, next)
	l.c.mu.Unlock()
	a := agentd.Announcement{Service: old.service, Slots: 2, Connections: 500}
	require.NoError(l.t, announce(context.Background(), next.daemon.AnnounceAddr(), a))
	l.c.setState(next, view.StateActive)
	require.Eventually(l.t, func() bool {
		v := l.c.targets[0].view.Load()
		for _, x := range v.Targets {
			if x.ID == old.id && x.State == view.StateActive && x.Incarnation > 0 && x.Control != "" {
				return next.seesActiveTargets(3)
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond)
}

// askUntilAnswered repeats a request while flows are still sent to the killed agent.
func (l *requestLab) askUntilAnswered(path string, headers ...string) reply {
	l.t.Helper()
	for {
		c := l.caller(http1)
		c.Timeout = time.Second
		r, err := ask(c, http.MethodPost, l.address(routeService)+path, headers...)
		if err == nil {
			return r
		}
		l.t.Logf("no answer: %v", err)
		require.Less(l.t, l.callers, byte(100), "no answer: %v", err)
	}
}
