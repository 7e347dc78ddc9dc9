package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Times of the faults.
const (
	// minGap and maxGap bound the time between two faults; faults can last longer, so that they overlap.
	minGap = 100 * time.Millisecond
	maxGap = 900 * time.Millisecond
	// maxDown is the maximum downtime of a daemon, maxPause that of a pause, maxCut that of a link fault.
	maxDown  = 1500 * time.Millisecond
	maxPause = 2 * time.Second
	maxCut   = 4 * time.Second
	// drainTime is how long a target continues after it starts to drain, targetDown the maximum time until its
	// replacement starts.
	drainTime  = 4 * time.Second
	targetDown = 1500 * time.Millisecond
	// stopSlack is added to graceTime for a concurrent pause.
	stopSlack = 3 * time.Second
)

// faults injects random faults.
type faults struct {
	w      *world
	random *rand.Rand
	wg     sync.WaitGroup
	// script writes a line to faults.log.
	script func(text string)
}

func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.injectRandom(ctx)
		f.w.counts.add(func(r *Result) { r.Faults++ })
		_ = wait.For(ctx, f.between(minGap, maxGap))
	}
	f.wg.Wait()
}

func (f *faults) between(low, high time.Duration) time.Duration { return between(f.random, low, high) }

// between returns a random duration in [low, high).
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// injectRandom starts one random fault. All random values are drawn first, so that the sequence depends on the seed
// only.
func (f *faults) injectRandom(ctx context.Context) {
	b := f.w.balancers[f.random.IntN(len(f.w.balancers))]
	a := f.w.agents[f.random.IntN(len(f.w.agents))]
	process, link := b.process, b.link
	if f.random.IntN(2) == 0 {
		process, link = a.process, a.link
	}
	down, pause, cut := f.between(0, maxDown), f.between(minGap, maxPause), f.between(minGap, maxCut)
	mode := linkMode(1 + f.random.IntN(int(linkModes)-1))
	switch kind := f.random.IntN(100); {
	case kind < 20:
		f.start("restart "+process.name, func() { f.restart(ctx, process, down) })
	case kind < 35:
		f.start("kill "+process.name, func() { f.kill(ctx, down, process) })
	case kind < 50:
		f.start("pause "+process.name, func() { f.pause(ctx, process, pause) })
	case kind < 57:
		f.start("hang up "+process.name, func() { process.signal(syscall.SIGHUP) })
	case kind < 69:
		f.start(fmt.Sprintf("link %d of %s", mode, process.name), func() { f.cut(ctx, mode, cut, link) })
	case kind < 76:
		f.start(fmt.Sprintf("link %d of all", mode), func() { f.cut(ctx, mode, cut, f.w.links()...) })
	case kind < 86:
		f.start("drain "+a.name, func() { f.drain(ctx, a.target, 0, down) })
	case kind < 94:
		f.start("target of "+a.name+" dies", func() { f.die(ctx, a.target, down) })
	case kind < 97:
		f.start("kill all balancers", func() { f.kill(ctx, down, f.w.processes(true, false)...) })
	case kind < 99:
		f.start("kill all agents", func() {
			f.w.recordAgentsKilled()
			f.kill(ctx, down, f.w.processes(false, true)...)
		})
	default:
		f.start("kill all", func() {
			f.w.recordAgentsKilled()
			f.kill(ctx, down, f.w.processes(true, true)...)
		})
	}
}

func (f *faults) start(text string, fault func()) {
	f.script(text)
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		fault()
	}()
}

// startAgain starts a daemon; a failure is a violation.
func (f *faults) startAgain(p *process) {
	if err := p.start(); err != nil {
		f.w.counts.violation("%v", err)
	}
}

func (f *faults) restart(ctx context.Context, p *process, down time.Duration) {
	p.stop(graceTime + stopSlack)
	_ = wait.For(ctx, down)
	f.startAgain(p)
}

func (f *faults) kill(ctx context.Context, down time.Duration, list ...*process) {
	for _, p := range list {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range list {
		p.ended(time.Second)
	}
	_ = wait.For(ctx, down)
	for _, p := range list {
		f.startAgain(p)
	}
}

func (f *faults) pause(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	_ = wait.For(ctx, d)
	p.signal(syscall.SIGCONT)
}

func (f *faults) cut(ctx context.Context, m linkMode, d time.Duration, links ...*proxy) {
	for _, l := range links {
		l.set(m)
	}
	_ = wait.For(ctx, d)
	for _, l := range links {
		l.set(linkPasses)
	}
}

// drain drains and replaces a target, unless it is down or already draining. Its process runs on for a time after its
// deregistration.
func (f *faults) drain(ctx context.Context, t *target, runsOn, down time.Duration) {
	if t.activeName() == "" {
		return
	}
	t.drainAndStop(ctx, drainTime, runsOn)
	f.replace(ctx, t, down)
}

func (f *faults) die(ctx context.Context, t *target, down time.Duration) {
	if t.activeName() == "" {
		return
	}
	t.stopProcess()
	f.replace(ctx, t, down)
}

func (f *faults) replace(ctx context.Context, t *target, down time.Duration) {
	_ = wait.For(ctx, min(down, targetDown))
	if err := t.startProcess(); err != nil {
		f.w.counts.violation("starting a target: %v", err)
	}
}

func (w *world) links() []*proxy {
	var out []*proxy
	for _, b := range w.balancers {
		out = append(out, b.link)
	}
	for _, a := range w.agents {
		out = append(out, a.link)
	}
	return out
}

func (w *world) processes(balancers, agents bool) []*process {
	var out []*process
	for _, b := range w.balancers {
		if balancers {
			out = append(out, b.process)
		}
	}
	for _, a := range w.agents {
		if agents {
			out = append(out, a.process)
		}
	}
	return out
}
