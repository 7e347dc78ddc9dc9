package control

import (
	"fmt"
	"slices"
	"time"
)

// Guaranteed times until a change is in force on every live balancer.
const (
	// MaxInForceStoreUp bounds the 99th percentile while the store is up.
	MaxInForceStoreUp = time.Second
	// MaxInForceStoreDown bounds the 99th percentile when the store goes down right after the acceptance.
	MaxInForceStoreDown = 4 * time.Second
)

// Result is the outcome of a run.
type Result struct {
	// Changes is the number of changes made; each was Accepted, Rejected, Superseded by a later one before it was judged,
	// or never stored (Conflicts, Failed).
	Changes, Accepted, Rejected, Superseded, Conflicts, Failed int
	// Lost counts accepted changes that a live balancer doesn't use, and services missing from a later revision.
	Lost int
	// Reverted counts decreases of the head's revision, a balancer's revision and a service's version.
	Reverted int
	// InForce holds the times from acceptance to adoption by the last balancer, with the store up; WithoutStore those of
	// changes during which the store was down.
	InForce, WithoutStore []time.Duration
	// Judged holds the times from storing a change to its acceptance.
	Judged []time.Duration
	// Newcomers holds the times from the start of a joining or restarted balancer to its first revision.
	Newcomers []time.Duration
	// Idle and Busy are the costs without and with changes.
	Idle, Busy Rates
	// Refusals is the number of callers that received a reset; RecordsLost of them have no record.
	Refusals, RecordsLost int
	// LateWrites is the number of writes that a pause of the lease holder delayed.
	LateWrites int64
	// Revisions is the number of revisions, Operations that of operations in the checked history.
	Revisions, Operations int
	// Broken describes the violated guarantees.
	Broken []string
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Line returns the summary that ends the output of a run.
func (r Result) Line() string {
	return fmt.Sprintf("changes=%d accepted=%d lost=%d reverted=%d inforce_p50_ms=%d inforce_p99_ms=%d store_writes_s=%.1f "+
		"store_reads_s=%.1f control_bytes_s=%.0f control_cpu_pct=%.2f refusals=%d records_lost=%d",
		r.Changes, r.Accepted, r.Lost, r.Reverted, percentile(r.InForce, 0.5).Milliseconds(),
		percentile(r.InForce, 0.99).Milliseconds(), r.Busy.Writes, r.Busy.Reads, r.Busy.Bytes, r.Busy.CPU, r.Refusals, r.RecordsLost)
}

// checkLimits adds to Broken the guarantees that the counts and percentiles violate.
func (r *Result) checkLimits() {
	broken := func(format string, args ...any) { r.Broken = append(r.Broken, fmt.Sprintf(format, args...)) }
	if r.Lost > 0 {
		broken("%d accepted changes are lost", r.Lost)
	}
	if r.Reverted > 0 {
		broken("%d reverts", r.Reverted)
	}
	if r.RecordsLost > 0 {
		broken("%d refused callers have no record", r.RecordsLost)
	}
	if p := percentile(r.InForce, 0.99); p > MaxInForceStoreUp {
		broken("in force after %s at p99 with the store up, more than %s", p.Round(time.Millisecond), MaxInForceStoreUp)
	}
	if p := percentile(r.WithoutStore, 0.99); p > MaxInForceStoreDown {
		broken("in force after %s at p99 with the store down, more than %s", p.Round(time.Millisecond), MaxInForceStoreDown)
	}
}
