package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Times of a run.
const (
	// startTime is how long the installation may take until every balancer is in rotation and every target is served.
	startTime = 15 * time.Second
	// settleTime is how long after the last fault everything must be served again.
	settleTime = 6 * time.Second
	// finalFlows is the number of flows that must all be served then.
	finalFlows = 40
)

// Seeds of the parts of a run, beside Options.Seed.
const (
	seedCallers = 1 + iota
	seedOperator
	seedFinal
	seedWriters
	seedRestores
)

// Run starts the installation, makes faults for o.Length and checks what the daemons promise. The error is one of the run
// itself; broken promises are in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.check(); err != nil {
		return Result{}, err
	}
	w, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	if err := w.build(); err != nil {
		return Result{}, err
	}
	script, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return Result{}, trace.ConvertSystemError(err)
	}
	defer script.Close() //nolint:errcheck // A line that was not written is not needed by the result.
	if err := w.run(ctx, script); err != nil {
		return w.counts.result(), err
	}
	return w.counts.result(), w.checkRefusals()
}

func (w *world) run(ctx context.Context, script *os.File) error {
	if err := w.configure(ctx); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, b := range w.balancers {
		watchers.Go(func() { w.routers.check(background, b.entry) })
		watchers.Go(func() { w.watch(background, b) })
	}
	defer watchers.Wait()
	defer stop()
	if err := w.started(ctx); err != nil {
		return err
	}
	w.disturbed(ctx, script)
	w.settle(ctx)
	w.stopAll()
	return nil
}

// started waits until flows of both services are served.
func (w *world) started(ctx context.Context) error {
	end := time.Now().Add(startTime)
	for {
		served := 0
		for _, b := range w.balancers {
			w.routers.mu.Lock()
			if b.entry.in {
				served++
			}
			w.routers.mu.Unlock()
		}
		if served == len(w.balancers) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return trace.LimitExceeded("%d of %d balancers are in rotation %s after the start", served, len(w.balancers), startTime)
		}
		_ = wait.For(ctx, statusTime)
	}
}

// disturbed lets callers, the operator and the faults work for the length of the run, and waits for the open flows.
func (w *world) disturbed(ctx context.Context, script *os.File) {
	during, end := context.WithTimeout(ctx, w.o.Length)
	defer end()
	var flows, parts sync.WaitGroup
	parts.Go(func() { w.operate(during, rand.New(rand.NewPCG(w.o.Seed, seedOperator))) })
	parts.Go(func() { w.writeStrange(during, rand.New(rand.NewPCG(w.o.Seed, seedWriters))) })
	parts.Go(func() { w.openFlows(during, ctx, &flows) })
	note := func(text string) {
		_, _ = fmt.Fprintf(script, "%.2f %s\n", time.Since(w.counts.began).Seconds(), text)
	}
	parts.Go(func() { w.restore(during, rand.New(rand.NewPCG(w.o.Seed, seedRestores)), note) })
	f := &faults{w: w, random: w.random, script: note}
	f.run(during)
	parts.Wait()
	w.heal()
	flows.Wait()
}

// openFlows starts flows at the run's rate; each goes on after the faults have ended.
func (w *world) openFlows(during, whole context.Context, flows *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(w.o.Seed, seedCallers))
	for during.Err() == nil {
		c := w.call(rand.New(rand.NewPCG(random.Uint64(), seedCallers)))
		flows.Go(func() { c.run(whole) })
		_ = wait.For(during, time.Second/time.Duration(w.o.Rate))
	}
}

// heal ends every fault.
func (w *world) heal() {
	for _, l := range w.links() {
		l.set(linkPasses)
	}
	for _, p := range w.processes(true, true) {
		p.signal(syscall.SIGCONT)
	}
	if err := w.startAll(); err != nil {
		w.counts.violation("%v", err)
	}
}

// settle checks that everything is served once the faults have ended.
func (w *world) settle(ctx context.Context) {
	_ = wait.For(ctx, settleTime)
	before := w.counts.result()
	random := rand.New(rand.NewPCG(w.o.Seed, seedFinal))
	var flows sync.WaitGroup
	for range finalFlows {
		c := w.call(rand.New(rand.NewPCG(random.Uint64(), seedFinal)))
		flows.Go(func() { c.run(ctx) })
		_ = wait.For(ctx, time.Second/finalFlows)
	}
	flows.Wait()
	if ctx.Err() != nil {
		return
	}
	if served := w.counts.result().Finished - before.Finished; served < finalFlows {
		w.counts.violation("%d of %d flows were served %s after the last fault", served, finalFlows, settleTime)
	}
	w.checkMembers(ctx)
	version, _ := w.accepted()
	for _, b := range w.balancers {
		if label, err := b.label(ctx); err != nil || label != version {
			w.counts.violation("%s has configuration %d at the end, and %d is accepted: %v", b.name, label, version, err)
		}
	}
}

// stopAll asks every daemon to end; balancers first, so that the agents have no flow to wait for.
func (w *world) stopAll() {
	for _, list := range [][]*process{w.processes(true, false), w.processes(false, true)} {
		var all sync.WaitGroup
		for _, p := range list {
			all.Go(func() { p.stop(graceTime + stopSlack) })
		}
		all.Wait()
	}
}
