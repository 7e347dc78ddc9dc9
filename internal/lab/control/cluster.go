package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	loopback = "127.0.0.1:0"
	// cachedFlows keeps the flow cache small: the balancers forward no flows.
	cachedFlows = 1 << 10
	// startTimeout bounds the wait until a new installation or balancer is ready, or the compile lease has a holder.
	startTimeout = time.Minute
	pollTime     = 20 * time.Millisecond
	maxServices  = 20
)

// places are the regions and data centres to which VMs are assigned round-robin.
var places = [][2]string{
	{"amman-east", "marka-hall"}, {"hcm", "hcm-thuduc"}, {"amman-east", "zarqa-hall"}, {"hcm", "hcm-q7"},
}

// place returns where the n-th VM runs. Fewer than fewBalancers run in one region, unless FaultRegionSplit is set.
func (o Options) place(n int) (region, dataCentre string) {
	if o.Balancers < fewBalancers && !o.has(FaultRegionSplit) {
		n = 2 * (n % 2)
	}
	p := places[n%len(places)]
	return p[0], p[1]
}

const fewBalancers = 4

func processName(kind string, n int) string { return fmt.Sprintf("%s-%03d", kind, n) }

// cluster is a running installation.
type cluster struct {
	o        Options
	truth    *truth
	boundary *boundary
	callers  *callers
	// api serves the balancers, operators serves the operators, so that their calls are counted apart.
	api, operators *api
	sessions       tally.TestScope
	done           sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc

	faultMu sync.Mutex
	faults  store.Faults

	mu        sync.Mutex
	started   int
	balancers []*balancer
	gone      []*balancer
	targets   []*target
}

func startCluster(ctx context.Context, o Options) (*cluster, error) {
	c := &cluster{o: o, truth: newTruth(o.Seed), boundary: newBoundary(), sessions: tally.NewTestScope("", nil)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.start(); err != nil {
		c.close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

func (c *cluster) start() error {
	var err error
	if c.callers, err = newCallers(); err != nil {
		return trace.Wrap(err)
	}
	if c.api, err = serveAPI(c.truth); err != nil {
		return trace.Wrap(err)
	}
	if c.operators, err = serveAPI(c.truth); err != nil {
		return trace.Wrap(err)
	}
	for range c.o.Balancers {
		if _, err := c.join(c.ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := c.firstServices(); err != nil {
		return trace.Wrap(err)
	}
	for range c.o.Targets {
		if _, err := c.addTarget(c.ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(c.await(startTimeout, c.serving), "wait for the installation to serve")
}

// serving reports whether every live balancer's packet path uses the head's revision with all targets active.
func (c *cluster) serving() bool {
	head := c.truth.head()
	for _, b := range c.live() {
		revision, targets := b.current()
		if head == 0 || revision < head || targets < c.o.Targets {
			return false
		}
	}
	return true
}

func (c *cluster) await(limit time.Duration, ready func() bool) error {
	end := time.Now().Add(limit)
	for !ready() {
		if time.Now().After(end) {
			return trace.LimitExceeded("condition not met within %s", limit)
		}
		_ = wait.For(c.ctx, pollTime)
		if c.ctx.Err() != nil {
			return trace.Wrap(c.ctx.Err())
		}
	}
	return nil
}

func (c *cluster) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	return c.started
}

// services returns the number of initial services.
func (c *cluster) services() int { return max(1, min(maxServices, c.o.Targets)) }

// live returns a copy of the list of live balancers.
func (c *cluster) live() []*balancer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*balancer(nil), c.balancers...)
}

// everyBalancer returns all balancers, killed ones included.
func (c *cluster) everyBalancer() []*balancer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]*balancer(nil), c.balancers...), c.gone...)
}

// remove moves a balancer from the live to the killed ones.
func (c *cluster) remove(b *balancer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.balancers {
		if other == b {
			c.balancers = append(c.balancers[:i:i], c.balancers[i+1:]...)
			c.gone = append(c.gone, b)
			return
		}
	}
}

// controlAddrs returns the control addresses of the live balancers of a region; of all when region is empty or has none.
func (c *cluster) controlAddrs(region string) []string {
	var out, all []string
	for _, b := range c.live() {
		all = append(all, b.daemon.ControlAddr())
		if region == "" || b.region == region {
			out = append(out, b.daemon.ControlAddr())
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

func (c *cluster) close() {
	for _, b := range c.live() {
		b.kill()
	}
	c.mu.Lock()
	targets := c.targets
	c.mu.Unlock()
	for _, t := range targets {
		t.session.Kill()
	}
	c.cancel()
	for _, a := range []*api{c.api, c.operators} {
		if a != nil {
			_ = a.server.Close()
		}
	}
	if c.callers != nil {
		c.callers.close()
	}
	c.done.Wait()
}

// api serves the store over HTTP and counts the calls.
type api struct {
	url    string
	server *http.Server
	counts *countingStore
}

func serveAPI(s objectapi.Store) (*api, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, trace.Wrap(err, "listen for the object API")
	}
	a := &api{url: "http://" + l.Addr().String(), counts: &countingStore{Store: s}}
	a.server = &http.Server{Handler: store.Handler(a.counts), ReadHeaderTimeout: time.Second}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}
