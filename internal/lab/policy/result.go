package policy

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// windowTime is the length of the windows of which the worst counts.
	windowTime = 2 * time.Second
	// lateWorth is what an answer beyond the promised time is worth, an answer in time being worth 1.
	lateWorth = 0.3
)

// Counts are the ends of requests.
type Counts struct {
	Asked, InTime, Late, Lost int
}

// Plus adds counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Asked: c.Asked + o.Asked, InTime: c.InTime + o.InTime, Late: c.Late + o.Late, Lost: c.Lost + o.Lost}
}

// Worth is the mean worth of a request.
func (c Counts) Worth() float64 {
	if c.Asked == 0 {
		return 1
	}
	return (float64(c.InTime) + lateWorth*float64(c.Late)) / float64(c.Asked)
}

// Result is what callers got in a run.
type Result struct {
	Counts
	// Windows are the counts of requests by when they began.
	Windows []Counts
	// Refusals is the number of refused flows, Notified those whose callers were reset at once; GivenUp of flows that waited in vain,
	// Unanswered of offers without an answer.
	Refusals, Notified, GivenUp, Unanswered int
	// Twice is the number of flows that ran at two targets, which must not be.
	Twice int
	// Crashed is the number of times that a cold target ended since it got too many flows, Wrong that of errors that callers got.
	Crashed, Wrong int
	runs           map[netip.AddrPort]int
}

func newResult(o Options) *Result {
	return &Result{Windows: make([]Counts, int(o.Length/windowTime)+1), runs: make(map[netip.AddrPort]int)}
}

func (r *Result) window(began time.Time) *Counts {
	return &r.Windows[min(len(r.Windows)-1, int(began.Sub(epoch)/windowTime))]
}

func (r *Result) asked(began time.Time) {
	r.Asked++
	r.window(began).Asked++
}

func (r *Result) lost(began time.Time) {
	r.Lost++
	r.window(began).Lost++
}

func (r *Result) answered(began time.Time, inTime bool) {
	for _, c := range []*Counts{&r.Counts, r.window(began)} {
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	}
}

func (r *Result) ran(source netip.AddrPort) {
	r.runs[source]++
	if r.runs[source] > 1 {
		r.Twice++
	}
}

// Worst is the worth of the worst window.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, c := range r.Windows {
		if c.Asked > 0 {
			worst = min(worst, c.Worth())
		}
	}
	return worst
}

// String describes the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("asked=%d in_time=%d late=%d lost=%d worth=%.4f worst=%.3f refusals=%d told=%d given_up=%d unanswered=%d twice=%d",
		r.Asked, r.InTime, r.Late, r.Lost, r.Worth(), r.Worst(), r.Refusals, r.Notified, r.GivenUp, r.Unanswered, r.Twice)
}
