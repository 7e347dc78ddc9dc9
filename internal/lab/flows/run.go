package flows

import (
	"context"
	"io"
	"math"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	minConnections = 50
	// udpIdle ends UDP flows soon after their last datagram, so that drains end within the run.
	udpIdle = 5 * time.Second
	// settleTime is the maximum time that faults may take after the last flow has ended.
	settleTime = 10 * time.Second
	// recordPollInterval is the interval between checks for missing refusal records.
	recordPollInterval = 500 * time.Millisecond
)

type run struct {
	opts          Options
	deployment    Deployment
	timeline      timeline
	fabric        *fabric.Fabric
	cluster       Cluster
	events        *events
	trace         *tracer
	measureStalls atomic.Bool
	open          atomic.Int64
	maxOpen       atomic.Int64

	mu                sync.Mutex
	falseLoadAssigned map[string]bool
	outcomes          []outcome
}

// Run starts a cluster, runs the flows and faults, prints events to out, and returns the measurements. The error is
// trace.CompareFailed if Result.Violations is not empty.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	d, err := FindDeployment(o.Deployment)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	d = d.with(o)
	r := &run{opts: o, deployment: d, timeline: newTimeline(o), events: newEvents(out)}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, trace.Wrap(err)
	}
	result, err := r.flows(ctx)
	if err != nil {
		return result, trace.Wrap(err)
	}
	r.print(result)
	if broken := result.Violations(); len(broken) > 0 {
		return result, trace.CompareFailed("run violated its limits: %s", strings.Join(broken, "; "))
	}
	return result, nil
}

func (r *run) start(ctx context.Context) error {
	var err error
	r.fabric, err = fabric.New(fabric.Config{
		Seed:      r.opts.Seed,
		Loss:      r.opts.Loss,
		Duplicate: r.opts.Duplicate,
		Detection: DefaultDetection,
		Tap:       r.tap(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.cluster, err = r.opts.NewCluster(ctx, ClusterConfig{
		Deployment:  r.deployment,
		Connections: r.connections(),
		Balancers:   r.opts.Balancers,
		Fabric:      r.fabric,
		Seed:        r.opts.Seed,
		Uneven:      r.uneven(),
		Target:      r.configureTarget,
		Service:     r.configureService,
		Log:         r.opts.Log,
	})
	return trace.Wrap(err)
}

// tap returns the tap of the fabric, or nil without Options.Trace.
func (r *run) tap() func(netip.AddrPort, bool, []byte) {
	if !r.opts.Trace {
		return nil
	}
	r.trace = newTracer(r.events.start)
	return r.trace.tap
}

func (r *run) close() {
	if r.cluster != nil {
		r.cluster.Close()
	}
	if r.fabric != nil {
		r.fabric.Close()
	}
}

// connections returns the connection limit per service, such that the long flows use targetLoadFraction of it.
func (r *run) connections() map[string]uint32 {
	targets := 0
	for _, s := range r.deployment.Services {
		targets += s.Targets
	}
	n := math.Ceil(float64(r.opts.longFlows()) / float64(targets) / targetLoadFraction)
	out := make(map[string]uint32)
	for _, s := range r.deployment.Services {
		out[s.Name] = max(uint32(n), minConnections)
	}
	return out
}

func (r *run) has(f Fault) bool {
	for _, g := range r.opts.Faults {
		if f == g {
			return true
		}
	}
	return false
}

func (r *run) uneven() time.Duration {
	if r.has(FaultUneven) {
		return r.opts.Uneven
	}
	return 0
}

// configureService applies the options to a service.
func (r *run) configureService(s *resource.Service) {
	s.Spec.ProxyProtocol = r.opts.ProxyProtocol
	s.Spec.UDPIdle = resource.Duration(udpIdle)
}

// configureTarget applies the options to a target stand-in, Options.LyingTarget to the first one of each service.
func (r *run) configureTarget(c *target.Config) {
	c.ProxyProtocol = r.opts.ProxyProtocol
	if r.opts.LyingTarget && r.isFirstTarget(c) {
		c.FalseLoad = func(int) int { return 0 }
	}
}

func (r *run) isFirstTarget(c *target.Config) bool {
	if r.cluster != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.falseLoadAssigned == nil {
		r.falseLoadAssigned = map[string]bool{}
	}
	first := !r.falseLoadAssigned[c.Service]
	r.falseLoadAssigned[c.Service] = true
	return first
}

// flows runs the workload and the faults.
func (r *run) flows(ctx context.Context) (Result, error) {
	plans := newWorkload(r.opts, r.deployment, r.cluster.Services(), r.timeline).plans(r.opts)
	r.events.printf("%s: %d balancers, %d targets, %d flows, %d of them long",
		r.deployment.Name, len(r.cluster.Balancers()), len(r.cluster.Targets()), len(plans), r.opts.longFlows())
	began := time.Now()
	var clients sync.WaitGroup
	for _, p := range plans {
		clients.Go(func() { r.client(ctx, p) })
	}
	if err := wait.For(ctx, r.timeline.ramp+r.timeline.warm/2); err != nil {
		return Result{}, trace.Wrap(err)
	}
	r.events.printf("warm-up done: %d flows open", r.open.Load())
	balances, times := sample(ctx, r.cluster, r.timeline.warm/2)
	if err := wait.For(ctx, r.timeline.faults()-time.Since(began)); err != nil {
		return Result{}, trace.Wrap(err)
	}
	counts := r.cluster.Counts()
	r.measureStalls.Store(true)
	scriptCtx, stop := context.WithCancel(ctx)
	defer stop()
	s := newScript(scriptCtx, r.opts, r.cluster, r.events)
	s.start()
	clients.Wait()
	r.events.printf("all flows ended")
	waitAtMost(&s.done, settleTime)
	stop()
	s.done.Wait()
	r.awaitRecords(ctx)
	return r.judge(balances, times, counts), trace.Wrap(ctx.Err())
}

// awaitRecords waits up to settleTime for the refusal records of flows whose target was killed: a caller that receives
// nothing more eventually closes its connection, and only that packet is refused.
func (r *run) awaitRecords(ctx context.Context) {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) {
		records := indexRecords(r.cluster.Refusals())
		if !slices.ContainsFunc(r.outcomes, func(o outcome) bool { return r.lacksRecord(&o, records) }) {
			return
		}
		if wait.For(ctx, recordPollInterval) != nil {
			return
		}
	}
}

func (r *run) lacksRecord(o *outcome, records map[netip.AddrPort]refusal.Record) bool {
	if o.verdict != verdictBroken {
		return false
	}
	if _, killed := r.events.killedTargets[o.target]; !killed {
		return false
	}
	_, recorded := records[o.plan.local]
	return !recorded
}

// client waits for the start of a flow, runs it and adds its outcome.
func (r *run) client(ctx context.Context, p *plan) {
	if wait.For(ctx, p.start) != nil {
		return
	}
	n := r.open.Add(1)
	for most := r.maxOpen.Load(); n > most && !r.maxOpen.CompareAndSwap(most, n); most = r.maxOpen.Load() {
	}
	c := client{plan: p, caller: r.fabric.NewCaller(p.local.Addr()), measureStalls: &r.measureStalls, proxied: r.opts.ProxyProtocol}
	out := c.run(ctx)
	r.open.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, out)
}

func waitAtMost(g *sync.WaitGroup, d time.Duration) {
	done := make(chan struct{})
	go func() {
		g.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(d):
	}
}
