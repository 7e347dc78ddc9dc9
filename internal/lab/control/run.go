package control

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// settleTime bounds the time to converge after the last fault.
const settleTime = 45 * time.Second

// Run starts an installation, makes the changes and the faults, checks every guarantee and prints the measurements. It
// returns an error with the first violation, if any.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	o = o.withDefaults()
	c, err := startCluster(ctx, o)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	defer c.close()
	r := &run{c: c, o: o, out: out, operators: newOperators(c, o.Seed), script: newScript(c, out, o.Seed)}
	r.drive(ctx)
	if ctx.Err() != nil {
		return Result{}, trace.Wrap(ctx.Err(), "run interrupted before its end")
	}
	r.judge()
	r.print()
	if n := len(r.result.Broken); n > 0 {
		return r.result, trace.Errorf("%d violations, the first: %s", n, r.result.Broken[0])
	}
	return r.result, nil
}

type run struct {
	c         *cluster
	o         Options
	out       io.Writer
	operators *operators
	script    *script
	result    Result
	unsettled string
	settled   time.Duration
}

func (r *run) drive(ctx context.Context) {
	callers, stop := context.WithCancel(ctx)
	defer stop()
	go r.c.openFlows(callers, r.script.pick)
	daemons := r.o.Balancers + r.o.Targets
	begin := r.c.usage()
	_ = wait.For(ctx, r.o.Idle)
	idle := r.c.usage()
	r.result.Idle = ratesBetween(begin, idle, daemons, r.o.Targets)
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		r.script.run(ctx, r.o.Window)
	}()
	r.operators.run(ctx, r.o.Changes, r.o.Window)
	r.result.Busy = ratesBetween(idle, r.c.usage(), daemons, r.o.Targets)
	<-faults
	stop()
	r.settle()
}

// settle waits until the installation has converged, settleTime at most.
func (r *run) settle() {
	began := time.Now()
	_ = r.c.await(settleTime, func() bool {
		r.unsettled = r.c.unsettled()
		return r.unsettled == ""
	})
	r.settled = time.Since(began)
}

func (r *run) judge() {
	r.c.truth.mu.Lock()
	newJudge(r.c, r.operators.changes, r.script.outages, &r.result).run()
	r.c.truth.mu.Unlock()
	r.result.Refusals = len(r.c.callers.refusedCallers())
	r.result.RecordsLost = len(r.c.missingRecords())
	r.result.Broken = append(r.result.Broken, r.c.falseRecords()...)
	if r.unsettled != "" {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("not settled after %s: %s", settleTime, r.unsettled))
	}
	r.result.Broken = append(r.result.Broken, r.script.broken...)
	for _, b := range r.c.everyBalancer() {
		r.result.LateWrites += b.gate.held.Load()
		if list := b.history(); b.number > r.o.Balancers && len(list) > 0 {
			r.result.Newcomers = append(r.result.Newcomers, list[0].at.Sub(b.started))
		}
	}
	r.result.checkLimits()
}

// maxPrinted bounds the number of violations that are printed.
const maxPrinted = 20

func (r *run) print() {
	x := r.result
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(r.out, format+"\n", args...) }
	line("")
	line("balancers, targets          %d, %d", r.o.Balancers, r.o.Targets)
	line("faults                      %s", names(r.o.Faults))
	line("changes                     accepted %d, rejected %d, superseded %d, conflicts %d, not stored %d",
		x.Accepted, x.Rejected, x.Superseded, x.Conflicts, x.Failed)
	line("revisions                   %d; history of %d operations checked", x.Revisions, x.Operations)
	line("accepted after              %s", times(x.Judged))
	line("in force, store up          %s", times(x.InForce))
	line("in force, store down        %s", times(x.WithoutStore))
	line("newcomers' first revision   %s", times(x.Newcomers))
	line("writes that came late       %d", x.LateWrites)
	line("settled after               %s", r.settled.Round(time.Millisecond))
	line("without changes             %s", x.Idle)
	line("with changes                %s", x.Busy)
	for _, p := range x.Broken[:min(len(x.Broken), maxPrinted)] {
		line("PROMISE BROKEN: %s", p)
	}
	line("%s", x.Line())
}

func names(list []Fault) string {
	text := make([]string, 0, len(list))
	for _, f := range list {
		text = append(text, string(f))
	}
	if len(text) == 0 {
		return "none"
	}
	return strings.Join(text, ",")
}

func times(list []time.Duration) string {
	ms := func(p float64) int64 { return percentile(list, p).Milliseconds() }
	return fmt.Sprintf("n=%d p50=%dms p99=%dms max=%dms", len(list), ms(0.5), ms(0.99), ms(1))
}

func (r Rates) String() string {
	return fmt.Sprintf("%.0f B/s a balancer (max %.0f), %.0f B/s a session, %.2f%% of a core a daemon, store %.1f reads/s %.1f writes/s",
		r.Bytes, r.MaxBytes, r.SessionBytes, r.CPU, r.Reads, r.Writes)
}
