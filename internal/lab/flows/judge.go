package flows

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

const (
	histogramMax    = int64(time.Minute / time.Millisecond)
	histogramDigits = 3
	percentile      = 95
	// waitWindow is the time after a kill in which a flow that starts counts as a new flow.
	waitWindow = 5 * time.Second
)

// judge computes the result of the run from the outcomes.
func (r *run) judge(balances map[string]balance, times []time.Time, before PathCounts) Result {
	r.mu.Lock()
	outcomes := r.outcomes
	r.mu.Unlock()
	result := Result{
		Flows:      len(outcomes),
		OpenAtOnce: int(r.maxOpen.Load()),
		Kills:      len(r.events.kills),
		Failures:   r.events.failures,
		Imbalance:  1,
	}
	result.addBalances(balances, r.connections())
	result.Baselines = r.baselines(outcomes, times)
	result.BaselineImbalance = slices.Min(slices.Collect(maps.Values(result.Baselines)))
	records := r.cluster.Refusals()
	result.Refused = len(records)
	byCaller := indexRecords(records)
	for i := range outcomes {
		r.judgeFlow(&result, &outcomes[i], byCaller)
	}
	r.slowFlows(outcomes)
	r.addTimes(&result, outcomes)
	after := r.cluster.Counts()
	if delivered := after.Delivered - before.Delivered; delivered > 0 {
		result.ExtraHops = float64(after.Passed-before.Passed) / float64(delivered)
	}
	return result
}

func (r *Result) addBalances(balances map[string]balance, connections map[string]uint32) {
	for name, b := range balances {
		r.Imbalance = max(r.Imbalance, b.ratio())
		if r.MeanOpen == 0 || b.mean < r.MeanOpen {
			r.MeanOpen = b.mean
			r.Load = b.mean / float64(connections[name])
		}
	}
}

func indexRecords(records []refusal.Record) map[netip.AddrPort]refusal.Record {
	out := make(map[netip.AddrPort]refusal.Record, len(records))
	for _, rec := range records {
		if _, ok := out[rec.Caller]; !ok {
			out[rec.Caller] = rec
		}
	}
	return out
}

// judgeFlow adds one outcome to the result and prints a flow that failed or has a false refusal record.
func (r *run) judgeFlow(result *Result, o *outcome, records map[netip.AddrPort]refusal.Record) {
	result.Bytes += o.bytes
	if drained, ok := r.events.drained[o.target]; ok && o.started.After(drained.Add(MaxDrainDelay)) {
		result.LateWork++
	}
	record, recorded := records[o.plan.local]
	if o.verdict == verdictIntact {
		if recorded {
			result.FalseRecords++
			r.events.printf("flow %s (%s) completed at %q after %s but has record %q of %s", o.plan.name, o.plan.kind,
				o.target, o.ended.Sub(r.events.start).Round(time.Millisecond), record.Reason, record.DecidedBy)
			r.printTrace(o.plan.local)
		}
		return
	}
	switch o.verdict {
	case verdictCrossed:
		result.Crossed++
	case verdictMixed:
		result.Mixed++
	default:
		if r.brokenByKill(o, record, recorded) {
			result.Killed++
			if recorded {
				result.Explained++
				return
			}
		} else {
			result.Broken++
		}
	}
	r.events.printf("flow %s (%s) to %s at %q from %v, started %.2fs, %s after %d bytes: %v; record %q of %s",
		o.plan.name, o.plan.kind, o.plan.service, o.target, o.plan.local, o.started.Sub(r.events.start).Seconds(),
		o.ended.Sub(o.started).Round(time.Millisecond), o.bytes, o.err, record.Reason, record.DecidedBy)
	r.printTrace(o.plan.local)
}

// brokenByKill reports whether the flow's own target was killed before the flow ended. A flow that ended before it was
// answered, so that its target is unknown, counts if its record names a killed target, has the reason target-died, or has
// the reason owner-lost and the flow was open at a kill.
func (r *run) brokenByKill(o *outcome, record refusal.Record, recorded bool) bool {
	id := o.target
	if id == "" && recorded {
		id = record.DecidedBy
	}
	killed, ok := r.events.killedTargets[id]
	if ok {
		return o.ended.After(killed)
	}
	if o.target != "" || !recorded {
		return false
	}
	return record.Reason == refusal.ReasonTargetDied || record.Reason == refusal.ReasonOwnerLost && r.openAtKill(o)
}

// openAtKill reports whether the flow was open when a target was killed: only then can it have been placed there and have
// lost its owner before it was answered.
func (r *run) openAtKill(o *outcome) bool {
	for _, killed := range r.events.killedTargets {
		if o.started.Before(killed) && o.ended.After(killed) {
			return true
		}
	}
	return false
}

// addTimes adds the stalls and the waiting times of new flows.
func (r *run) addTimes(result *Result, outcomes []outcome) {
	stalls := hdrhistogram.New(1, histogramMax, histogramDigits)
	waits := hdrhistogram.New(1, histogramMax, histogramDigits)
	for i := range outcomes {
		o := &outcomes[i]
		if o.verdict != verdictIntact {
			continue
		}
		if o.plan.kind.isLong() {
			record(stalls, o.stall)
		}
		if r.startedAfterKill(o) {
			record(waits, o.opened)
		}
	}
	result.LongestStall = milliseconds(stalls.Max())
	result.StallP95 = milliseconds(stalls.ValueAtPercentile(percentile))
	result.NewFlows = int(waits.TotalCount())
	result.NewFlowWait = milliseconds(waits.ValueAtPercentile(percentile))
	result.LongestNewFlowWait = milliseconds(waits.Max())
}

func (r *run) startedAfterKill(o *outcome) bool {
	for _, kill := range r.events.kills {
		if o.started.After(kill) && o.started.Before(kill.Add(waitWindow)) {
			return true
		}
	}
	return false
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), histogramMax))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
