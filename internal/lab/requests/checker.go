package requests

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// checker compares what callers were told with what the targets ran.
type checker struct {
	truth     *truth
	deaths    *deaths
	result    Result
	latencies *hdrhistogram.Histogram
	inTime    int
	endings   map[ending]int
}

func newChecker(t *truth, d *deaths) *checker {
	return &checker{truth: t, deaths: d, latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		endings: make(map[ending]int)}
}

// add checks one piece of work.
func (c *checker) add(t told) {
	runs := c.truth.count(t.work.id)
	c.result.Requests++
	c.endings[endingOf(t)]++
	if runs > 0 {
		c.result.Ran++
	}
	if !t.work.idem && runs > 1 {
		c.result.Doubled++
	}
	switch t.result.Outcome {
	case caller.OutcomeRan:
		c.addRan(t, runs)
	case caller.OutcomeNotRun:
		c.result.Refused++
		if runs > 0 {
			c.result.Lies++
		}
	default:
		c.result.Unknown++
		if !c.explained(t) {
			c.result.Unexplained++
		}
	}
}

// addRan checks that an answer is the whole answer to this work.
func (c *checker) addRan(t told, runs int) {
	if runs == 0 {
		c.result.Lies++
	}
	if !t.result.Whole {
		return
	}
	if t.result.Status == 200 {
		c.checkBody(t)
	}
	if t.late() {
		return
	}
	c.inTime++
	_ = c.latencies.RecordValue(t.ended.Sub(t.began).Microseconds())
}

func (c *checker) checkBody(t told) {
	want := workBody(t.work.service, t.work.id, t.work.size)
	got := string(t.result.Body)
	switch {
	case got == want:
	case len(got) < len(want) && got == want[:len(got)]:
		c.result.Truncated++
	default:
		c.result.Mixed++
	}
}

// explained reports whether an unknown outcome is allowed: a process died meanwhile, or the caller itself went away
// from started work.
func (c *checker) explained(t told) bool {
	return t.work.goneAfter > 0 || c.deaths.explain(t)
}
