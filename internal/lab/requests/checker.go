package requests

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburnwood/auburnwood/pkg/caller"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// checker compares the outcomes that callers received with the runs that the targets recorded.
type checker struct {
	truth         *truth
	deaths        *deaths
	result        Result
	latencies     *hdrhistogram.Histogram
	ends          []time.Time
	endings       map[ending]int
	falseOutcomes []string
}

func newChecker(t *truth, d *deaths) *checker {
	return &checker{truth: t, deaths: d, latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		endings: make(map[ending]int)}
}

// add checks and counts one completed request.
func (c *checker) add(t completion) {
	runs := c.truth.count(t.work.id)
	c.result.Requests++
	c.endings[c.endingOf(t)]++
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
			c.recordFalseOutcome(t, runs)
		}
	default:
		c.result.Unknown++
		if c.cause(t) == causeNone {
			c.result.Unexplained++
		}
	}
}

// recordFalseOutcome counts a caller that received the opposite of the actual outcome, and adds a line to the report.
func (c *checker) recordFalseOutcome(t completion, runs int) {
	c.result.Lies++
	c.falseOutcomes = append(c.falseOutcomes, fmt.Sprintf("wrong outcome: request %d of %s (%s) ran %d times, reported as %v after %d submissions: "+
		"status %d reason %s record %s; dropped after %v, cancelled after %v", t.work.id, t.work.service, protectionName(t.work), runs,
		t.result.Outcome, t.result.Submissions, t.result.Status, t.result.Reason, t.result.Record, t.work.cutAfter,
		t.work.goneAfter))
}

// addRan checks a request that was reported as run, and counts a complete response as late or in time.
func (c *checker) addRan(t completion, runs int) {
	if runs == 0 {
		c.recordFalseOutcome(t, runs)
	}
	if !t.result.Complete {
		return
	}
	if t.result.Status == 200 {
		c.checkBody(t)
	}
	c.result.Answered++
	if t.late() {
		c.result.Late++
		return
	}
	c.ends = append(c.ends, t.ended)
	_ = c.latencies.RecordValue(t.ended.Sub(t.began).Microseconds())
}

func (c *checker) checkBody(t completion) {
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

// Causes of unknown outcomes. Only causeNone is a violation.
const (
	causeGone  = "caller-gone"
	causeDeath = "process-died"
	causeStore = "caller-dropped-submission-and-store-down"
	causeDrop  = "caller-dropped-submission-and-issuer-gone"
	causeNone  = "UNEXPLAINED"
)

// cause returns why an outcome may be unknown: the caller cancelled the request or dropped a submission of an idempotent
// one, a process of the service died meanwhile, or the caller dropped a submission whose outcome can no longer be
// determined, because the object API was down or the issuer of its prefetched ticket had died before.
func (c *checker) cause(t completion) string {
	switch {
	case t.work.goneAfter > 0, t.work.cutAfter > 0 && t.work.idem:
		return causeGone
	case c.deaths.explain(t):
		return causeDeath
	case t.work.cutAfter > 0 && t.result.Reason == string(refusal.ReasonClaimStore):
		return causeStore
	case t.work.cutAfter > 0 && t.result.Reason == string(refusal.ReasonTicketGone):
		return causeDrop
	}
	return causeNone
}
