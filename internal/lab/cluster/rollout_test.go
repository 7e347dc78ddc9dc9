package cluster

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/store"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

const (
	oldVersion = "v41"
	newVersion = "v42"
	// inForceTime is allowed for a step to be in force everywhere before flows are compared with its shares.
	inForceTime = time.Second
)

// withVersions makes the later two of the four route targets run the new version; edit may change their configuration.
// All new flows go to the old version until a rollout begins.
func withVersions(edit func(c *standin.Config)) func(*flows.ClusterConfig) {
	return func(cfg *flows.ClusterConfig) {
		cfg.RolloutTick = 100 * time.Millisecond
		cfg.Deployment.Services[0].Targets = 4
		started, before := 0, cfg.Service
		cfg.Target = func(c *standin.Config) {
			if c.Service != routeService {
				return
			}
			c.Version = oldVersion
			if started++; started > 2 {
				c.Version = newVersion
				edit(c)
			}
		}
		cfg.Service = func(s *resource.Service) {
			if before != nil {
				before(s)
			}
			if s.Name == routeService {
				s.Spec.Shares = []resource.Share{{Version: oldVersion, Weight: 1}}
			}
		}
	}
}

// rolloutLab observes a rollout of the route service.
type rolloutLab struct {
	t *testing.T
	c *Cluster

	mu      sync.Mutex
	records []rollout.Record
	seen    []arrival
	stop    context.CancelFunc
	callers sync.WaitGroup
}

// arrival is one flow and the version that answered it.
type arrival struct {
	began   time.Time
	version string
}

// newRolloutLab starts to watch the rollout records, and callers that open flows until the test ends.
func newRolloutLab(t *testing.T, c *Cluster, path string, clients []*http.Client, address string) *rolloutLab {
	ctx, cancel := context.WithCancel(deadline(t))
	l := &rolloutLab{t: t, c: c, stop: cancel}
	t.Cleanup(l.end)
	l.callers.Go(func() { l.watch(ctx) })
	for _, client := range clients {
		l.callers.Go(func() { l.call(ctx, client, address+path) })
	}
	return l
}

func (l *rolloutLab) end() {
	l.stop()
	l.callers.Wait()
}

// begin applies the rollout as an operator does.
func (l *rolloutLab) begin(steps ...resource.RolloutStep) {
	l.t.Helper()
	applier := ctl.Applier{Store: objectapi.NewClient(l.c.APIURL(), objectapi.Options{})}
	for _, s := range l.c.Services() {
		if s.Name != routeService {
			continue
		}
		s.Spec.Shares = nil
		s.Spec.Rollout = &resource.Rollout{From: oldVersion, To: newVersion, Steps: steps, Objective: 0.9, MaxBurnRatio: 2}
		require.NoError(l.t, resource.CheckService(s))
		_, err := applier.Apply(deadline(l.t), s)
		require.NoError(l.t, err)
	}
}

func step(weight uint32, window time.Duration) resource.RolloutStep {
	return resource.RolloutStep{Weight: weight, Window: resource.Duration(window)}
}

// watch records each rollout state that is stored.
func (l *rolloutLab) watch(ctx context.Context) {
	from := uint64(0)
	for ctx.Err() == nil {
		events, next, err := l.c.Store().Watch(ctx, rollout.Kind, from)
		if err != nil {
			continue
		}
		from = next
		for _, e := range events {
			l.recordState(e.Object.Value)
		}
	}
}

func (l *rolloutLab) recordState(value []byte) {
	var r rollout.Record
	if json.Unmarshal(value, &r) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// call opens one flow after the other; each flow is one request.
func (l *rolloutLab) call(ctx context.Context, client *http.Client, url string) {
	for ctx.Err() == nil {
		began := time.Now()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		resp, err := client.Do(r)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		l.recordArrival(arrival{began, l.version(resp.Header.Get(standin.HeaderTarget))})
	}
}

func (l *rolloutLab) version(id string) string {
	t, err := l.c.find(id)
	if err != nil {
		return ""
	}
	return t.standin.Config().Version
}

func (l *rolloutLab) recordArrival(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, a)
}

// states returns the stored states, without empty ones and consecutive repetitions.
func (l *rolloutLab) states() []resource.RolloutStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []resource.RolloutStatus
	for _, r := range l.records {
		if r.State == "" || len(out) > 0 && out[len(out)-1] == r.RolloutStatus {
			continue
		}
		out = append(out, r.RolloutStatus)
	}
	return out
}

// await waits until a status with the state and weight is stored.
func (l *rolloutLab) await(state resource.RolloutState, weight uint32) resource.RolloutStatus {
	l.t.Helper()
	var last resource.RolloutStatus
	reached := func() bool {
		for _, last = range l.states() {
			if last.State == state && last.Weight == weight {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(2 * waitTimeout); !reached(); time.Sleep(10 * time.Millisecond) {
		require.True(l.t, time.Now().Before(end), "%s at %d%%: %+v", state, weight, l.states())
	}
	return last
}

// weights returns the weights of the steps in the order in which they were stored.
func (l *rolloutLab) weights() []uint32 {
	var out []uint32
	for _, s := range l.states() {
		out = append(out, s.Weight)
	}
	return out
}

// share returns the new version's share of the flows that began between from and to, and the number of these flows.
func (l *rolloutLab) share(from, to time.Time) (float64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh, all := 0, 0
	for _, a := range l.seen {
		if a.began.Before(from) || a.began.After(to) {
			continue
		}
		if all++; a.version == newVersion {
			fresh++
		}
	}
	return float64(fresh) / float64(max(all, 1)), all
}

// awaitShares waits until every balancer's view gives the new version the given percentage of new flows, and logs how long
// that took.
func (l *rolloutLab) awaitShares(percent int) {
	l.t.Helper()
	begin := time.Now()
	require.Eventually(l.t, func() bool {
		l.c.mu.Lock()
		defer l.c.mu.Unlock()
		for _, b := range l.c.balancers {
			if b.newVersionPart() != percent {
				return false
			}
		}
		return true
	}, waitTimeout, time.Millisecond, "%d%% in force", percent)
	l.t.Logf("%d%% in force on every balancer after %v", percent, time.Since(begin))
}

// newVersionPart returns the percentage of new flows that the balancer's view gives to the new version.
func (b *balancer) newVersionPart() int {
	fresh, all := 0.0, 0.0
	for _, s := range b.view.Load().Services {
		if s.Name != routeService {
			continue
		}
		for _, t := range s.Targets {
			all += float64(t.Weight)
			if t.Version == newVersion {
				fresh += float64(t.Weight)
			}
		}
	}
	return int(math.Round(100 * fresh / max(all, 1)))
}

// settledShare waits inForceTime and then returns the new version's share of at least 100 new flows.
func (l *rolloutLab) settledShare() float64 {
	l.t.Helper()
	time.Sleep(inForceTime)
	from := time.Now()
	require.Eventually(l.t, func() bool { _, n := l.share(from, time.Now()); return n >= 100 }, waitTimeout, 10*time.Millisecond)
	part, _ := l.share(from, time.Now())
	return part
}

// holder returns the name of the balancer that holds the rollout lease.
func (l *rolloutLab) holder() string {
	l.t.Helper()
	o, err := l.c.Store().Get(deadline(l.t), lease.Kind, rollout.LeaseName)
	require.NoError(l.t, err)
	var r lease.Record
	require.NoError(l.t, json.Unmarshal(o.Value, &r))
	name, _, _ := strings.Cut(r.Holder, "/")
	return name
}

// status waits until the service's stored status has the rollout state.
func (l *rolloutLab) status(state resource.RolloutState) resource.RolloutStatus {
	l.t.Helper()
	var s resource.ServiceStatus
	require.Eventually(l.t, func() bool {
		o, err := l.c.Store().Get(l.t.Context(), resource.KindServiceStatus, routeService)
		return err == nil && json.Unmarshal(o.Value, &s) == nil && s.Rollout != nil && s.Rollout.State == state
	}, waitTimeout, 10*time.Millisecond)
	return *s.Rollout
}

func (l *streamLab) rolloutLab() *rolloutLab {
	var clients []*http.Client
	for range 4 {
		client, _ := l.client(routeIP)
		clients = append(clients, client)
	}
	return newRolloutLab(l.t, l.c, standin.PathHealth, clients, "http://"+serviceAddress(routeIP, tcpPort))
}

// TestHealthyVersionPromotedAfterLeaseHolderDies kills the lease holder in the middle of a rollout: its successor must
// neither skip nor repeat a step, and no flow of the old version may be cut.
func TestHealthyVersionPromotedAfterLeaseHolderDies(t *testing.T) {
	l := newStreamLab(t, withVersions(func(*standin.Config) {}))
	old := l.running(3, 12*time.Second)
	r := l.rolloutLab()
	r.begin(step(10, 300*time.Millisecond), step(50, 3*time.Second), step(90, 300*time.Millisecond), step(100, time.Second))
	r.await(resource.RolloutProgressing, 50)
	r.awaitShares(50)
	half := time.Now().Add(inForceTime)
	time.Sleep(inForceTime + time.Second)
	part, n := r.share(half, time.Now())
	require.Greater(t, n, 20)
	require.InDelta(t, 0.5, part, 0.25, "of %d flows", n)

	dead := r.holder()
	require.NoError(t, l.c.KillBalancer(dead))
	r.await(resource.RolloutCompleted, 100)
	require.NotEqual(t, dead, r.holder())
	require.Equal(t, []uint32{10, 50, 90, 100}, r.weights())
	require.Contains(t, r.status(resource.RolloutCompleted).Message, "harm has probability")
	require.EqualValues(t, 1, r.settledShare(), "every new flow goes to the new version")
	r.end()
	l.requireComplete(old)
	require.Empty(t, l.refusals())
}

// TestDeadVersionIsRolledBack rolls out a version whose targets accept no connections; open flows must continue.
func TestDeadVersionIsRolledBack(t *testing.T) {
	l := newStreamLab(t, withVersions(func(*standin.Config) {}))
	old := l.running(2, 10*time.Second)
	r := l.rolloutLab()
	for _, target := range l.targetsOf(routeService) {
		if target.standin.Config().Version == newVersion {
			target.standin.Kill()
		}
	}
	r.begin(step(20, 300*time.Millisecond), step(100, time.Second))
	r.await(resource.RolloutRolledBack, 0)
	require.Equal(t, []uint32{20, 0}, r.weights())
	require.Regexp(t, `after \d+ requests with \d+ failures|no request has reached`, r.status(resource.RolloutRolledBack).Message)
	require.Zero(t, r.settledShare(), "every new flow goes to the old version")
	r.end()
	l.requireComplete(old)
}

// TestFailingVersionIsRolledBack rolls out a version that answers with failures; the status must state the counts.
func TestFailingVersionIsRolledBack(t *testing.T) {
	l := newRequestLab(t, withVersions(func(c *standin.Config) { c.FailWork = 1 }))
	var clients []*http.Client
	for range 4 {
		client := l.caller(http1)
		client.Transport.(*http.Transport).DisableKeepAlives = true
		clients = append(clients, client)
	}
	r := newRolloutLab(t, l.c, work("rollout", 0), clients, l.address(routeService))
	r.begin(step(20, 20*time.Second), step(100, time.Second))
	r.await(resource.RolloutRolledBack, 0)
	require.Equal(t, []uint32{20, 0}, r.weights())
	require.Regexp(t, `harm has probability \S+ after [1-9]\d* requests with [1-9]\d* failures, old version [1-9]\d* with 0`,
		r.status(resource.RolloutRolledBack).Message)
	require.Zero(t, r.settledShare(), "every new flow goes to the old version")
}

// TestRolloutContinuesAfterOutage checks that an object API outage only delays a rollout.
func TestRolloutContinuesAfterOutage(t *testing.T) {
	l := newStreamLab(t, withVersions(func(*standin.Config) {}))
	r := l.rolloutLab()
	r.begin(step(20, 300*time.Millisecond), step(60, time.Second), step(100, time.Second))
	r.await(resource.RolloutProgressing, 20)
	l.c.Store().SetFaults(store.Faults{Outage: true})
	time.Sleep(time.Second)
	l.c.Store().SetFaults(store.Faults{})
	r.await(resource.RolloutCompleted, 100)
	require.Equal(t, []uint32{20, 60, 100}, r.weights())
}
