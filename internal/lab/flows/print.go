package flows

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// slowest is the number of flows that slowFlows prints.
const slowest = 5

// print writes the summary; the last line is Result.Line.
func (r *run) print(x Result) {
	w := r.events.out
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("")
	line("flows open at once          %d", x.OpenAtOnce)
	line("bytes checked               %d", x.Bytes)
	line("open flows per target       %.0f on average after the warm-up, %.0f%% of the limit", x.MeanOpen, 100*x.Load)
	line("imbalance                   %.3f, highest over mean of open flows", x.Imbalance)
	for _, name := range slices.Sorted(maps.Keys(x.Baselines)) {
		line("  of the same flows by      %.3f %s", x.Baselines[name], name)
	}
	line("extra hops per packet       %.4f", x.ExtraHops)
	line("longest stall               %d ms (p95 of flows %d ms)", x.LongestStall.Milliseconds(), x.StallP95.Milliseconds())
	if x.Kills > 0 {
		line("new flows after a kill      %d, waited %d ms at p95, %d ms at most",
			x.NewFlows, x.NewFlowWait.Milliseconds(), x.LongestNewFlowWait.Milliseconds())
	}
	line("refusal records             %d %s", x.Refused, reasons(r.cluster.Refusals()))
	line("records of flows that ended well %d", x.FalseRecords)
	if x.Killed > 0 {
		line("flows of killed targets     %d, %d of them with a record", x.Killed, x.Explained)
	}
	line("late work at leaving targets %d", x.LateWork)
	for _, p := range x.Violations() {
		line("PROMISE BROKEN: %s", p)
	}
	line("%s", x.Line())
}

// reasons returns the number of refusals per reason as text.
func reasons(records []refusal.Record) string {
	count := map[refusal.Reason]int{}
	var order []refusal.Reason
	for _, rec := range records {
		if count[rec.Reason] == 0 {
			order = append(order, rec.Reason)
		}
		count[rec.Reason] += int(rec.Count)
	}
	text := ""
	for _, reason := range order {
		text += fmt.Sprintf(" %s=%d", reason, count[reason])
	}
	return text
}

// slowFlows prints the flows that took longest to open or stalled longest, if they exceed MaxWait.
func (r *run) slowFlows(outcomes []outcome) {
	delay := func(o outcome) time.Duration { return max(o.opened, o.stall) }
	slow := slices.SortedFunc(slices.Values(outcomes), func(a, b outcome) int { return cmp.Compare(delay(b), delay(a)) })
	for _, o := range slow[:min(slowest, len(slow))] {
		if delay(o) < MaxWait {
			return
		}
		r.events.printf("slow flow %s (%s) to %s at %q from %v, started %.2fs: opened after %s, stalled for %s", o.plan.name,
			o.plan.kind, o.plan.service, o.target, o.plan.local, o.started.Sub(r.events.start).Seconds(),
			o.opened.Round(time.Millisecond), o.stall.Round(time.Millisecond))
		r.printTrace(o.plan.local)
	}
}

// printTrace prints the packets of one flow if tracing is on.
func (r *run) printTrace(caller netip.AddrPort) {
	if r.trace == nil {
		return
	}
	for _, line := range r.trace.lines(caller) {
		_, _ = fmt.Fprintf(r.events.out, "    %s\n", line)
	}
}
