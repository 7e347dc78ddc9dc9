package requests

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburnwood/auburnwood/pkg/caller"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// checker compares what callers were told with what the targets ran.
type checker struct {
	truth     *truth
	deaths    *deaths
	result    Result
	latencies *hdrhistogram.Histogram
	ends      []time.Time
	endings   map[ending]int
	accounts  []string
}

func newChecker(t *truth, d *deaths) *checker {
	return &checker{truth: t, deaths: d, latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		endings: make(map[ending]int)}
}

// add checks one piece of work.
func (c *checker) add(t told) {
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
			c.lie(t, runs)
		}
	default:
		c.result.Unknown++
		if c.cause(t) == causeNone {
			c.result.Unexplained++
		}
	}
}

// lie counts a caller that was told the opposite of the truth, and keeps the account for the report.
func (c *checker) lie(t told, runs int) {
	c.result.Lies++
	c.accounts = append(c.accounts, fmt.Sprintf("lie: work %d of %s (%s) ran %d times, told %v after %d submissions: "+
		"status %d reason %s record %s; cut after %v, gone after %v", t.work.id, t.work.service, promiseName(t.work), runs,
		t.result.Outcome, t.result.Submissions, t.result.Status, t.result.Reason, t.result.Record, t.work.cutAfter,
		t.work.goneAfter))
}

// addRan checks that an answer is the whole answer to this work.
func (c *checker) addRan(t told, runs int) {
	if runs == 0 {
		c.lie(t, runs)
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

// Causes of unknown outcomes. Only the last one breaks a promise.
const (
	causeGone  = "caller-gone"
	causeDeath = "process-died"
	causeStore = "caller-dropped-submission-and-store-down"
	causeDrop  = "caller-dropped-submission-and-issuer-gone"
	causeNone  = "UNEXPLAINED"
)

// cause says why an outcome may be unknown: the caller itself went away from started work, or
// dropped a submission that it had not protected, or a process died meanwhile, or the
// caller had itself dropped a submission of which nobody can tell any more: the object API was down, or the issuer of its
// ticket, taken ahead, had died before.
func (c *checker) cause(t told) string {
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
