package flows

import "fmt"

// print writes the summary; the last line is Result.Line.
func (r *run) print(x Result) {
	w := r.events.out
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("")
	line("flows open at once          %d", x.OpenAtOnce)
	line("bytes checked               %d", x.Bytes)
	line("open flows per target       %.0f on average after the warm-up, %.0f%% of the limit", x.MeanOpen, 100*x.Load)
	for name, ratio := range x.Baselines {
		line("imbalance of baseline       %.3f %s", ratio, name)
	}
	line("extra hops per packet       %.4f", x.ExtraHops)
	line("longest stall               %d ms (p95 of flows %d ms)", x.LongestStall.Milliseconds(), x.StallP95.Milliseconds())
	if x.Kills > 0 {
		line("new flows after a kill      %d, waited %d ms at p95, %d ms at most",
			x.NewFlows, x.NewFlowWait.Milliseconds(), x.LongestNewFlowWait.Milliseconds())
	}
	line("refusal records             %d", x.Refused)
	if x.Killed > 0 {
		line("flows of killed targets     %d, %d of them with a record", x.Killed, x.Explained)
	}
	line("late work at leaving targets %d", x.LateWork)
	for _, p := range x.BrokenPromises() {
		line("PROMISE BROKEN: %s", p)
	}
	line("%s", x.Line())
}
