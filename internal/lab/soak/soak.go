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
	// startTimeout is how long the installation may take until every balancer is in rotation.
	startTimeout = 15 * time.Second
	// settleTime is the time after the last fault within which everything must be served again.
	settleTime = 6 * time.Second
	// finalFlows is the number of flows that must all finish after settleTime.
	finalFlows = 40
)

// Second seeds of the random generators of a run, beside Options.Seed.
const (
	seedCallers = 1 + iota
	seedOperator
	seedFinal
	seedWriters
	seedRestores
	seedLeaving
	seedLateReports
)

// Run starts the installation, injects faults for o.Length and checks the guarantees of the daemons. An error is a
// failure of the run itself; violated guarantees are in the result.
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
	defer script.Close() //nolint:errcheck // The result does not depend on the script.
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
	var checkers sync.WaitGroup
	for _, b := range w.balancers {
		checkers.Go(func() { w.routers.check(background, b.entry) })
		checkers.Go(func() { w.checkConfiguration(background, b) })
	}
	defer checkers.Wait()
	defer stop()
	if err := w.waitUntilStarted(ctx); err != nil {
		return err
	}
	if w.firstStart {
		if err := w.endFirstStart(); err != nil {
			return err
		}
	}
	w.runFaults(ctx, script)
	w.settle(ctx)
	w.stopAll()
	return nil
}

// waitUntilStarted waits until every balancer is in rotation. It returns a limit-exceeded error after startTimeout or
// when ctx ends.
func (w *world) waitUntilStarted(ctx context.Context) error {
	end := time.Now().Add(startTimeout)
	for {
		served := 0
		for _, b := range w.balancers {
			w.routers.mu.Lock()
			if b.entry.inRotation {
				served++
			}
			w.routers.mu.Unlock()
		}
		if served == len(w.balancers) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return trace.LimitExceeded("%d of %d balancers are in rotation %s after the start", served, len(w.balancers), startTimeout)
		}
		_ = wait.For(ctx, statusInterval)
	}
}

// runFaults runs callers, the operator, other writers, restores and faults for the length of the run, ends the faults
// and waits for the open flows.
func (w *world) runFaults(ctx context.Context, script *os.File) {
	during, end := context.WithTimeout(ctx, w.o.Length)
	defer end()
	var flows, background sync.WaitGroup
	background.Go(func() { w.changeConfiguration(during, rand.New(rand.NewPCG(w.o.Seed, seedOperator))) })
	background.Go(func() { w.writeInvalid(during, rand.New(rand.NewPCG(w.o.Seed, seedWriters))) })
	background.Go(func() { w.openFlows(during, ctx, &flows) })
	note := func(text string) {
		_, _ = fmt.Fprintf(script, "%.2f %s\n", time.Since(w.counts.began).Seconds(), text)
	}
	f := &faults{w: w, random: w.random, script: note}
	if w.o.Changes {
		background.Go(func() { f.leaveLate(during, rand.New(rand.NewPCG(w.o.Seed, seedLeaving))) })
		background.Go(func() { f.reportLate(during, rand.New(rand.NewPCG(w.o.Seed, seedLateReports))) })
	}
	if w.o.KillAllAfter > 0 {
		f.killAllOnSchedule(during)
	} else {
		background.Go(func() { w.restoreAPI(during, rand.New(rand.NewPCG(w.o.Seed, seedRestores)), note) })
		f.run(during)
	}
	background.Wait()
	f.wg.Wait()
	w.endFaults()
	flows.Wait()
}

// openFlows opens flows at the configured rate until during ends; flows continue until whole ends.
func (w *world) openFlows(during, whole context.Context, flows *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(w.o.Seed, seedCallers))
	for during.Err() == nil {
		c := w.newCaller(rand.New(rand.NewPCG(random.Uint64(), seedCallers)))
		flows.Go(func() { c.run(whole) })
		_ = wait.For(during, time.Second/time.Duration(w.o.Rate))
	}
}

// endFaults ends all faults and starts what is down.
func (w *world) endFaults() {
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

// settle checks that everything is served again after settleTime without faults.
func (w *world) settle(ctx context.Context) {
	_ = wait.For(ctx, settleTime)
	before := w.counts.result()
	random := rand.New(rand.NewPCG(w.o.Seed, seedFinal))
	var flows sync.WaitGroup
	for range finalFlows {
		c := w.newCaller(rand.New(rand.NewPCG(random.Uint64(), seedFinal)))
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
	if w.o.KillAllAfter > 0 {
		w.checkDirectories(ctx)
	}
	version, _ := w.latestAccepted()
	for _, b := range w.balancers {
		if label, err := b.label(ctx); err != nil || label != version {
			w.counts.violation("%s has configuration %d in force at the end of the run, but %d is the latest accepted one: %v", b.name, label, version, err)
		}
	}
}

// stopAll stops all daemons: balancers first, so that agents have no flows to wait for.
func (w *world) stopAll() {
	for _, list := range [][]*process{w.processes(true, false), w.processes(false, true)} {
		var all sync.WaitGroup
		for _, p := range list {
			all.Go(func() { p.stop(graceTime + stopSlack) })
		}
		all.Wait()
	}
}
