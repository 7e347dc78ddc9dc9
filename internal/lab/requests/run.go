package requests

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// minPeakShare is the fraction of the highest goodput that must remain at loads of 2 and more.
	minPeakShare = 0.95
	// baselineShare divides the number of requests for each baseline.
	baselineShare = 1
	// gcPercent reduces garbage collection: callers, agents and targets share one small heap.
	gcPercent = 800
	// defaultServiceTime applies to Options that were not parsed from a command line.
	defaultServiceTime = 40 * time.Millisecond
	// warmUp is the time before the sampling of the balance starts.
	warmUp = 500 * time.Millisecond
)

// Run runs the loads of the options in turn and returns the result of the last, with an error when a guarantee is
// violated. It writes a line and the breakdown of endings for each load and policy; the last line is the result.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	faults, err := parseFaults(o.Faults)
	if err != nil {
		return Result{}, err
	}
	d, ok := deployments[o.Deployment]
	if !ok {
		return Result{}, trace.BadParameter("unknown deployment %q", o.Deployment)
	}
	var results []Result
	for _, load := range o.Loads {
		r, err := runLoad(ctx, o, d, faults, load, out)
		if err != nil {
			return r, err
		}
		results = append(results, r)
	}
	r := last(results)
	fmt.Fprintln(out, r)
	return r, checkResults(results)
}

func last(results []Result) Result {
	if len(results) == 0 {
		return Result{}
	}
	return results[len(results)-1]
}

// checkResults returns an error for the first violation, or for a goodput under overload below minPeakShare of the peak.
func checkResults(results []Result) error {
	peak := 0.0
	for _, r := range results {
		if why := r.broken(); why != "" {
			return trace.CompareFailed("load %.1f: %s (%s)", r.Load, why, r)
		}
		peak = max(peak, r.Goodput)
	}
	for _, r := range results {
		if r.Load >= 2 && r.Goodput < minPeakShare*peak {
			return trace.CompareFailed("load %.1f: goodput %.1f is below %.2f of the peak %.1f", r.Load, r.Goodput,
				minPeakShare, peak)
		}
	}
	return nil
}

// runLoad runs one load with policyFull and, unless NoBaselines is set, with each baseline.
func runLoad(ctx context.Context, o Options, d deployment, faults faultSet, load float64, out io.Writer) (Result, error) {
	r, err := runPolicy(ctx, o, d, faults, load, policyFull, o.Requests, out)
	if err != nil {
		return r, err
	}
	if o.NoBaselines {
		return r, nil
	}
	for _, p := range baselines {
		b, err := runPolicy(ctx, o, d, faults, load, p, max(o.Requests/baselineShare, 1), out)
		if err != nil {
			return r, err
		}
		r.GoodputBaseline = max(r.GoodputBaseline, b.Goodput)
	}
	return r, nil
}

// runPolicy offers n requests to a new cluster and checks their outcomes.
func runPolicy(ctx context.Context, o Options, d deployment, faults faultSet, load float64, p policy, n int, out io.Writer) (Result, error) {
	t := newTruth(n)
	scale := newPace(or(o.ServiceTime, defaultServiceTime))
	daemons, err := startDaemons(ctx, o, p, scale)
	if err != nil {
		return Result{}, trace.Wrap(err, "start daemons")
	}
	c, err := newCluster(d, p, t, scale, o.Seed, o.Log, daemons)
	if err != nil {
		return Result{}, trace.Wrap(err, "start cluster")
	}
	defer c.close()
	if err := c.awaitActive(ctx); err != nil {
		return Result{}, trace.Wrap(err, "wait for the agents")
	}
	dead := newDeaths()
	plan := planner{d: d, faults: faults, rand: rand.New(rand.NewPCG(o.Seed, 1)), rate: load * d.capacity(scale),
		pace: scale}
	inj := &injector{cluster: c, d: d, faults: faults, deaths: dead, rand: rand.New(rand.NewPCG(o.Seed, 2))}
	inj.applyInitial()
	bal := &balance{cluster: c, busy: make(map[*target]float64), samples: make(map[*target]float64)}
	var dialer Dialer = c
	if daemons != nil {
		dialer = daemons
	}
	if o.Dialer != nil {
		dialer = o.Dialer
	}
	list, window := drive(ctx, plan.plan(n, callerCount), d, dialer, inj, bal, o.Seed)
	check := newChecker(t, dead)
	for _, completed := range list {
		check.add(completed)
	}
	r := check.finish(p, load, bal, window)
	fmt.Fprintf(out, "load=%.1f policy=%s unexplained=%d late=%d slots_used=%.3f %v\n", load, p, r.Unexplained, r.Late,
		bal.utilization(), r)
	printEndings(out, check.endings)
	for _, text := range check.falseOutcomes {
		fmt.Fprintln(out, " ", text)
	}
	return r, ctx.Err()
}

// startDaemons starts the real daemons of a run, or returns nil if there are none; baselines run without them.
func startDaemons(ctx context.Context, o Options, p policy, scale pace) (Daemons, error) {
	if o.NewDaemons == nil || p != policyFull {
		return nil, nil
	}
	return o.NewDaemons(ctx, o.Deployment, scale.deadline, o.Seed)
}

func (c *checker) finish(p policy, load float64, bal *balance, w window) Result {
	c.result.Policy = string(p)
	c.result.Load = load
	c.result.Mixed += int(c.truth.wrong.Load())
	c.result.Imbalance = bal.worst()
	c.result.Goodput = w.rate(c.ends)
	c.result.P50 = time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond
	c.result.P99 = time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond
	return c.result
}

// drive submits each request at its planned time. It returns the completions and the window in which goodput is counted.
func drive(ctx context.Context, list []work, d deployment, dialer Dialer, inj *injector, bal *balance, seed uint64) ([]completion, window) {
	clients := make([]*client, callerCount)
	for i := range clients {
		clients[i] = newClient(i, d, dialer, seed)
	}
	ends := make([]completion, len(list))
	side, stop := context.WithCancel(ctx)
	defer stop()
	go inj.run(side)
	start := time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	sampled := make(chan struct{})
	time.AfterFunc(warmUp, func() { bal.sample(sampling); close(sampled) })
	var g errgroup.Group
	for i, w := range list {
		time.Sleep(time.Until(start.Add(w.at)))
		g.Go(func() error {
			began := time.Now()
			r := clients[w.caller].do(ctx, w)
			ends[i] = completion{work: w, result: r, began: began, ended: time.Now()}
			return nil
		})
	}
	w := newWindow(start, time.Now(), inj.cluster.pace.deadline)
	stopSampling()
	stop()
	_ = g.Wait() // no part returns an error
	<-sampled
	return ends, w
}

// or returns v, or fallback when v is zero.
func or(v, fallback time.Duration) time.Duration {
	if v == 0 {
		return fallback
	}
	return v
}
