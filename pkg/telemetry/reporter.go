package telemetry

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// seriesKey identifies one series of a metric.
type seriesKey struct {
	name string
	// tags are the encoded tags, sorted by name, without braces.
	tags string
	// suffix is one of the suffixes of timers and histograms; empty for counters and gauges.
	suffix string
	// bound is the upper bound of a histogram bucket.
	bound float64
}

// Suffixes of the series of timers and histograms.
const (
	suffixCount  = "_count"
	suffixSum    = "_sum_seconds"
	suffixMax    = "_max_seconds"
	suffixBucket = "_bucket"
)

// Reporter is a tally.StatsReporter that keeps the values in memory and writes them as text: one line
// `name{tag="value"} number` for each series, sorted. A timer has the series _count, _sum_seconds and _max_seconds; a
// histogram has one _bucket series for each upper bound `le`, which counts the samples at or below the bound.
type Reporter struct {
	mu     sync.Mutex
	series map[seriesKey]float64
}

// NewReporter returns an empty Reporter.
func NewReporter() *Reporter {
	return &Reporter{series: make(map[seriesKey]float64)}
}

// Capabilities implements tally.BaseStatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities {
	return capabilities{}
}

// Flush implements tally.BaseStatsReporter; there is nothing to flush.
func (r *Reporter) Flush() {}

// ReportCounter implements tally.StatsReporter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, v int64) {
	r.add(seriesKey{name: name, tags: encodeTags(tags)}, float64(v))
}

// ReportGauge implements tally.StatsReporter.
func (r *Reporter) ReportGauge(name string, tags map[string]string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[seriesKey{name: name, tags: encodeTags(tags)}] = v
}

// ReportTimer implements tally.StatsReporter.
func (r *Reporter) ReportTimer(name string, tags map[string]string, d time.Duration) {
	t := encodeTags(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[seriesKey{name: name, tags: t, suffix: suffixCount}]++
	r.series[seriesKey{name: name, tags: t, suffix: suffixSum}] += d.Seconds()
	k := seriesKey{name: name, tags: t, suffix: suffixMax}
	r.series[k] = max(r.series[k], d.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, n int64) {
	r.add(seriesKey{name: name, tags: encodeTags(tags), suffix: suffixBucket, bound: upper}, float64(n))
}

// ReportHistogramDurationSamples implements tally.StatsReporter. Bounds are in seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, n int64) {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.MaxFloat64
	}
	r.add(seriesKey{name: name, tags: encodeTags(tags), suffix: suffixBucket, bound: bound}, float64(n))
}

func (r *Reporter) add(k seriesKey, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[k] += v
}

// WriteText writes all series.
func (r *Reporter) WriteText(w io.Writer) error {
	b := bufio.NewWriter(w)
	var group seriesKey
	var sum float64
	snapshot := r.snapshot()
	for _, k := range slices.SortedFunc(maps.Keys(snapshot), compareKeys) {
		v := snapshot[k]
		if k.suffix != suffixBucket {
			fmt.Fprintf(b, "%s%s%s %s\n", k.name, k.suffix, braces(k.tags), number(v))
			continue
		}
		g := seriesKey{name: k.name, tags: k.tags}
		if g != group {
			group, sum = g, 0
		}
		sum += v
		fmt.Fprintf(b, "%s%s%s %s\n", k.name, k.suffix, braces(withBound(k.tags, k.bound)), number(sum))
	}
	return b.Flush()
}

func (r *Reporter) snapshot() map[seriesKey]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.series)
}

// compareKeys sorts by name, suffix, tags and bound.
func compareKeys(a, b seriesKey) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.suffix, b.suffix), cmp.Compare(a.tags, b.tags), cmp.Compare(a.bound, b.bound))
}

// encodeTags returns the tags as `name="value"`, sorted and separated by commas.
func encodeTags(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k+"="+strconv.Quote(tags[k]))
	}
	return strings.Join(parts, ",")
}

// withBound appends the tag `le` of a bucket's upper bound.
func withBound(tags string, bound float64) string {
	le := `le="` + number(bound) + `"`
	if bound == math.MaxFloat64 {
		le = `le="+Inf"`
	}
	if tags == "" {
		return le
	}
	return tags + "," + le
}

// braces encloses tags in braces, unless there are none.
func braces(tags string) string {
	if tags == "" {
		return ""
	}
	return "{" + tags + "}"
}

// number returns the shortest text that parses back to v.
func number(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
