package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

const (
	// startTimeout bounds the time until the whole installation serves.
	startTimeout = 30 * time.Second
	// pollTime is the polling interval of awaited conditions.
	pollTime = 20 * time.Millisecond
	// callRate is the object API budget of each process, in calls per second.
	callRate = 50
	// refusalSpan is how far back refusal records are read from the store.
	refusalSpan = 30 * time.Minute
	loopback    = "127.0.0.1:0"
)

// Cluster is a running installation. It implements flows.Cluster.
type Cluster struct {
	cfg    flows.ClusterConfig
	ctx    context.Context
	cancel context.CancelFunc
	store  *store.Store
	api    *http.Server
	apiURL string
	scope  tally.TestScope
	delay  *delays
	done   sync.WaitGroup

	mu        sync.Mutex
	targets   []*target
	balancers []*balancer
	removed   []*balancer
	started   int
}

var _ flows.Cluster = (*Cluster)(nil)

// New starts the object API stand-in, balancers, targets and agents, applies the services and waits until all serve.
func New(ctx context.Context, cfg flows.ClusterConfig) (flows.Cluster, error) {
	c := &Cluster{
		cfg:   cfg,
		store: store.New(store.Config{Seed: cfg.Seed}),
		scope: tally.NewTestScope("", nil),
		delay: newDelays(cfg.Seed, cfg.Uneven),
	}
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.serveStore(); err != nil {
		return trace.Wrap(err)
	}
	for range c.cfg.Balancers {
		if _, err := c.JoinBalancer(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := c.applyServices(ctx); err != nil {
		return trace.Wrap(err)
	}
	for _, s := range c.cfg.Deployment.Services {
		for range s.Targets {
			if _, err := c.addTarget(s); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(c.awaitServing(ctx), "wait for the installation to serve")
}

// serveStore serves the object API stand-in over HTTP.
func (c *Cluster) serveStore() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return trace.Wrap(err, "listen for the object API stand-in")
	}
	c.apiURL = "http://" + l.Addr().String()
	c.api = &http.Server{Handler: store.Handler(c.store), ReadHeaderTimeout: time.Second}
	c.done.Go(func() { _ = c.api.Serve(l) })
	return nil
}

// applyServices writes the services as auburnwoodctl apply does.
func (c *Cluster) applyServices(ctx context.Context) error {
	applier := ctl.Applier{Store: objectapi.NewClient(c.apiURL, objectapi.Options{})}
	for _, s := range c.Services() {
		if err := resource.CheckService(s); err != nil {
			return trace.Wrap(err)
		}
		if _, err := applier.Apply(ctx, s); err != nil {
			return trace.Wrap(err, "apply service %s", s.Name)
		}
	}
	return nil
}

// Services implements flows.Cluster.
func (c *Cluster) Services() []resource.Service {
	var out []resource.Service
	for _, s := range c.cfg.Deployment.Services {
		limits := c.cfg.Limits
		limits.Connections = c.cfg.Connections[s.Name]
		service := resource.Service{Name: s.Name, Spec: resource.ServiceSpec{
			Addresses:  []resource.Address{s.Address},
			Mode:       c.mode(),
			Preference: c.cfg.Deployment.Preference,
			Limits:     limits,
		}}
		if c.cfg.Service != nil {
			c.cfg.Service(&service)
		}
		out = append(out, service)
	}
	return out
}

func (c *Cluster) mode() resource.Mode {
	if c.cfg.Mode == "" {
		return resource.ModeStream
	}
	return c.cfg.Mode
}

func (c *Cluster) tls(process string) settings.TLS {
	if c.cfg.TLS == nil {
		return settings.TLS{}
	}
	return c.cfg.TLS(process)
}

// Store returns the object API stand-in, for fault injection and call counts.
func (c *Cluster) Store() *store.Store { return c.store }

// APIURL returns the base URL of the object API stand-in.
func (c *Cluster) APIURL() string { return c.apiURL }

// StoreDown implements flows.Cluster.
func (c *Cluster) StoreDown(down bool) { c.store.SetFaults(store.Faults{Outage: down}) }

// Counts implements flows.Cluster.
func (c *Cluster) Counts() flows.PathCounts { return flows.CountPath(c.scope.Snapshot()) }

// Refusals implements flows.Cluster. It merges the records still held by processes with those written to the store.
func (c *Cluster) Refusals() []refusal.Record {
	seen := map[string]refusal.Record{}
	c.mu.Lock()
	targets, balancers := append([]*target(nil), c.targets...), append(append([]*balancer(nil), c.balancers...), c.removed...)
	c.mu.Unlock()
	for _, t := range targets {
		addRecords(seen, t.daemon.Refusals().Held())
	}
	for _, b := range balancers {
		addRecords(seen, b.daemon.Refusals().Held())
	}
	now := time.Now()
	answer, err := refusal.NewReader(c.store).Find(c.ctx, refusal.Query{From: now.Add(-refusalSpan), To: now.Add(time.Minute)})
	if err == nil {
		addRecords(seen, answer.Records)
	}
	out := make([]refusal.Record, 0, len(seen))
	for _, r := range seen {
		out = append(out, r)
	}
	return out
}

func addRecords(seen map[string]refusal.Record, records []refusal.Record) {
	for _, r := range records {
		seen[r.ID] = r
	}
}

// awaitServing waits until every balancer sees all targets as active, and every agent all targets of its service.
func (c *Cluster) awaitServing(ctx context.Context) error {
	all := 0
	want := map[string]int{}
	for _, s := range c.cfg.Deployment.Services {
		all += s.Targets
		want[s.Name] = s.Targets
	}
	return await(ctx, func() bool {
		c.mu.Lock()
		balancers, targets := slices.Clone(c.balancers), slices.Clone(c.targets)
		c.mu.Unlock()
		for _, b := range balancers {
			if b.daemon.Revision() == 0 || b.activeTargets() < all {
				return false
			}
		}
		return !slices.ContainsFunc(targets, func(t *target) bool { return !t.seesActiveTargets(want[t.service]) })
	})
}

func await(ctx context.Context, ready func() bool) error {
	t := time.NewTicker(pollTime)
	defer t.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

func (c *Cluster) nextNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	return c.started
}

func (c *Cluster) dataCentre(n int) string {
	places := c.cfg.Deployment.DataCentres
	return places[n%len(places)]
}

// Close implements flows.Cluster.
func (c *Cluster) Close() {
	c.mu.Lock()
	targets, balancers := c.targets, c.balancers
	c.mu.Unlock()
	for _, b := range balancers {
		b.daemon.Kill()
	}
	for _, t := range targets {
		t.kill()
	}
	c.cancel()
	if c.api != nil {
		_ = c.api.Close()
	}
	c.done.Wait()
}

func processName(kind string, n int) string { return fmt.Sprintf("%s-%02d", kind, n) }
