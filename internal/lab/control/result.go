package control

import (
	"fmt"
	"slices"
	"time"
)

// Promises about the time until a change is in force on every living balancer.
const (
	// MostWithStore bounds the 99th percentile while the store is up.
	MostWithStore = time.Second
	// MostWithoutStore bounds it when the store goes down right after the acceptance.
	MostWithoutStore = 4 * time.Second
)

// Result is the outcome of a run.
type Result struct {
	// Changes were made; each of them was Accepted, Rejected, Superseded by a later one before it was judged, or never
	// stored (Conflicts, Failed).
	Changes, Accepted, Rejected, Superseded, Conflicts, Failed int
	// Lost changes were accepted and are not in force, or missing from a later head, without a later change.
	Lost int
	// Reverted counts falls of a balancer's revision and of a service's version.
	Reverted int
	// InForce are the times from acceptance to the last living balancer, with the store up; WithoutStore those of changes
	// after whose acceptance the store went down.
	InForce, WithoutStore []time.Duration
	// Judged are the times from the store of a change to its acceptance.
	Judged []time.Duration
	// Newcomers are the times from the start of a balancer that joined to its first revision.
	Newcomers []time.Duration
	// Idle and Busy are what the time without and with changes costs.
	Idle, Busy Rates
	// Refusals is the number of callers that were told of a refusal; RecordsLost of them have no record.
	Refusals, RecordsLost int
	// LateWrites is the number of writes that were held beyond the lease and went through late.
	LateWrites int64
	// Revisions and Operations are the numbers of revisions and of operations in the checked history.
	Revisions, Operations int
	// Broken are the broken promises in words.
	Broken []string
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Line is the last line of a run.
func (r Result) Line() string {
	return fmt.Sprintf("changes=%d accepted=%d lost=%d reverted=%d inforce_p50_ms=%d inforce_p99_ms=%d store_writes_s=%.1f "+
		"store_reads_s=%.1f control_bytes_s=%.0f control_cpu_pct=%.2f refusals=%d records_lost=%d",
		r.Changes, r.Accepted, r.Lost, r.Reverted, percentile(r.InForce, 0.5).Milliseconds(),
		percentile(r.InForce, 0.99).Milliseconds(), r.Busy.Writes, r.Busy.Reads, r.Busy.Bytes, r.Busy.CPU, r.Refusals, r.RecordsLost)
}

// promises adds the promises that the numbers break.
func (r *Result) promises() {
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
	if p := percentile(r.InForce, 0.99); p > MostWithStore {
		broken("in force after %s at p99 with the store up, more than %s", p.Round(time.Millisecond), MostWithStore)
	}
	if p := percentile(r.WithoutStore, 0.99); p > MostWithoutStore {
		broken("in force after %s at p99 with the store down, more than %s", p.Round(time.Millisecond), MostWithoutStore)
	}
}
