package passthrough

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// Result holds the measurements of a run.
type Result struct {
	// Flows is the number of flows: Finished completed, Refused were reset before they opened, Unopened got no answer in
	// time, Ended lost their target.
	Flows, Finished, Refused, Unopened, Ended int
	// Broken flows ended or stalled although their target was alive; Crossed flows were answered by another service; Mixed
	// flows were answered by two targets; Misdelivered counts packets of open flows that were delivered to a target that
	// does not hold the flow.
	Broken, Crossed, Mixed, Misdelivered int
	// Imbalance is the worst ratio, highest over mean, of the flows opened at the targets of a service; BaselineImbalance is
	// that of a plain hash over the announced targets.
	Imbalance, BaselineImbalance float64
	// OpenP95 is the 95th percentile of the time to open a flow; DeadP95 that of the flows whose first packet a plain hash
	// over the announced targets would have sent to a dead agent; DeadBaselineP95 that of the plain hash for these flows.
	OpenP95, DeadP95, DeadBaselineP95 time.Duration
	// DeadFlows is the number of flows in DeadP95.
	DeadFlows int
}

// counts collects the observations of callers and targets.
type counts struct {
	mu       sync.Mutex
	result   Result
	opens    []time.Duration
	dead     []time.Duration
	baseline []time.Duration
	lab      *lab
}

// checkMisdelivered counts a packet that reached a target which does not hold its flow, if the flow is open at another
// target.
func (t *counts) checkMisdelivered(at *target, s segment.Segment) {
	for _, other := range t.lab.living() {
		if other != at && other.holds(s.Source) {
			t.mu.Lock()
			t.result.Misdelivered++
			t.mu.Unlock()
			return
		}
	}
}

func (t *counts) count(f func(*Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

// opened records the time to open a flow, and for a flow that a plain hash would have sent to a dead agent also the
// baseline.
func (t *counts) opened(took time.Duration, baseline time.Duration, dead bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opens = append(t.opens, took)
	if dead {
		t.dead = append(t.dead, took)
		t.baseline = append(t.baseline, baseline)
	}
}

// finish computes the percentiles and returns the result.
func (t *counts) finish() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.OpenP95 = p95(t.opens)
	t.result.DeadP95 = p95(t.dead)
	t.result.DeadBaselineP95 = p95(t.baseline)
	t.result.DeadFlows = len(t.dead)
	return t.result
}

func p95(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[len(d)*95/100]
}

// print writes the result; the last line holds the values that Err checks, and the imbalance.
func (r Result) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "flows=%d finished=%d refused=%d unopened=%d ended=%d open_p95=%s\n",
		r.Flows, r.Finished, r.Refused, r.Unopened, r.Ended, r.OpenP95.Round(100*time.Microsecond))
	_, _ = fmt.Fprintf(w, "first agent dead: flows=%d open_p95=%s plain_hash_p95=%s\n",
		r.DeadFlows, r.DeadP95.Round(100*time.Microsecond), r.DeadBaselineP95.Round(100*time.Microsecond))
	_, _ = fmt.Fprintf(w, "broken=%d crossed=%d mixed=%d misdelivered=%d imbalance=%.3f plain_hash_imbalance=%.3f\n",
		r.Broken, r.Crossed, r.Mixed, r.Misdelivered, r.Imbalance, r.BaselineImbalance)
}

// Err returns an error if flows broke, crossed or mixed, or packets were misdelivered.
func (r Result) Err() error {
	if r.Broken+r.Crossed+r.Mixed+r.Misdelivered > 0 {
		return trace.Errorf("run violated its guarantees: broken=%d crossed=%d mixed=%d misdelivered=%d", r.Broken, r.Crossed, r.Mixed, r.Misdelivered)
	}
	return nil
}
