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
	// inForceTime is the time that a step gets to be in force everywhere before flows are held against its shares.
	inForceTime = time.Second
)

// withVersions makes the second half of the route targets run the new version; edit may change these before they start.
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

// arrival is one flow and the version that took it.
type arrival struct {
	began   time.Time
	version string
}

// newRolloutLab begins a rollout, and callers that open flows until the test ends.
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

// begin asks for the rollout as an operator does.
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

// watch keeps each state that is stored.
func (l *rolloutLab) watch(ctx context.Context) {
	from := uint64(0)
	for ctx.Err() == nil {
		events, next, err := l.c.Store().Watch(ctx, rollout.Kind, from)
		if err != nil {
			continue
		}
		from = next
		for _, e := range events {
			l.note(e.Object.Value)
		}
	}
}

func (l *rolloutLab) note(value []byte) {
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
		l.arrived(arrival{began, l.version(resp.Header.Get(standin.HeaderTarget))})
	}
}

func (l *rolloutLab) version(id string) string {
	t, err := l.c.find(id)
	if err != nil {
		return ""
	}
	return t.standin.Config().Version
}

func (l *rolloutLab) arrived(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, a)
}

// states returns the states that were stored, without those that a claim only repeated.
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

// await waits until a state of the weight or the end is stored.
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
	for end := time.Now().Add(2 * patience); !reached(); time.Sleep(10 * time.Millisecond) {
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

// share returns the part of the new version in the flows that began in a time, and their number.
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

// awaitShares waits until every balancer's view gives the new version a part of the new flows in percent, and logs how
// long that took from the step on.
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
	}, patience, time.Millisecond, "%d%% in force", percent)
	l.t.Logf("%d%% in force on every balancer after %v", percent, time.Since(begin))
}

// newVersionPart returns the part of new flows, in percent, that the balancer's view gives to the new version.
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

// settled lets the last step come into force, and returns the new version's part from then on.
func (l *rolloutLab) settled() float64 {
	l.t.Helper()
	time.Sleep(inForceTime)
	from := time.Now()
	require.Eventually(l.t, func() bool { _, n := l.share(from, time.Now()); return n >= 100 }, patience, 10*time.Millisecond)
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

// status waits until the service's status speaks of the state.
func (l *rolloutLab) status(state resource.RolloutState) resource.RolloutStatus {
	l.t.Helper()
	var s resource.ServiceStatus
	require.Eventually(l.t, func() bool {
		o, err := l.c.Store().Get(l.t.Context(), resource.KindServiceStatus, routeService)
		return err == nil && json.Unmarshal(o.Value, &s) == nil && s.Rollout != nil && s.Rollout.State == state
	}, patience, 10*time.Millisecond)
	return *s.Rollout
}

func (l *streamLab) rolloutLab() *rolloutLab {
	var clients []*http.Client
	for range 4 {
		client, _ := l.client(routeIP)
		clients = append(clients, client)
	}
	return newRolloutLab(l.t, l.c, standin.PathHealth, clients, "http://"+at(routeIP, tcpPort))
}

// A healthy version takes all steps, new flows follow them, and no flow of the old version is cut by one. The holder of
// the duty dies in the middle: the next one neither skips nor repeats a step.
func TestHealthyVersionIsPromotedThoughTheHolderDies(t *testing.T) {
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
	require.EqualValues(t, 1, r.settled(), "every new flow goes to the new version")
	r.end()
	l.whole(old)
	require.Empty(t, l.refusals())
}

// A version whose targets take no connection is given up; the flows that are open go on.
func TestDeadVersionIsRolledBack(t *testing.T) {
	l := newStreamLab(t, withVersions(func(*standin.Config) {}))
	old := l.running(2, 10*time.Second)
	r := l.rolloutLab()
	for _, target := range l.of(routeService) {
		if target.standin.Config().Version == newVersion {
			target.standin.Kill()
		}
	}
	r.begin(step(20, 300*time.Millisecond), step(100, time.Second))
	r.await(resource.RolloutRolledBack, 0)
	require.Equal(t, []uint32{20, 0}, r.weights())
	require.Regexp(t, `after \d+ requests with \d+ failures|no request has reached`, r.status(resource.RolloutRolledBack).Message)
	require.Zero(t, r.settled(), "every new flow goes to the old version")
	r.end()
	l.whole(old)
}

// A version that answers with failures is given up, and the status says on which counts.
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
	require.Zero(t, r.settled(), "every new flow goes to the old version")
}

// A store that fails for a while holds a rollout up and does no other harm.
func TestRolloutGoesOnAfterAnOutage(t *testing.T) {
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
