package policy

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"
)

const (
	// windowTime is the length of the windows that requests are counted in.
	windowTime = 2 * time.Second
	// lateWorth is the worth of an answer after Aim; an answer in time is worth 1.
	lateWorth = 0.3
)

// Counts are the numbers of requests by outcome.
type Counts struct {
	Requests, InTime, Late, Lost int
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Requests: c.Requests + o.Requests, InTime: c.InTime + o.InTime, Late: c.Late + o.Late, Lost: c.Lost + o.Lost}
}

// Worth returns the mean worth of a request, and 1 if there were none.
func (c Counts) Worth() float64 {
	if c.Requests == 0 {
		return 1
	}
	return (float64(c.InTime) + lateWorth*float64(c.Late)) / float64(c.Requests)
}

// Result holds the outcome of a run.
type Result struct {
	Counts
	// Urgent counts the requests of the highest priority, DataCentres those of the others by their callers' data centre,
	// and Flooder those of the first caller; only in runs with callers at addresses of their own.
	Urgent      Counts
	DataCentres []Counts
	Flooder     Counts
	// TimedOut counts the tries whose callers got no answer to their opening packets.
	TimedOut int
	// Windows are the counts by the time at which requests began.
	Windows []Counts
	// Refusals counts refused flows, Notified those whose caller was notified, Abandoned the queued flows that agents
	// abandoned, and Unanswered the offers without an answer.
	Refusals, Notified, Abandoned, Unanswered int
	// RanTwice counts runs of a request beyond the first of its flow. Any is a fault of the policy.
	RanTwice int
	// Crashed is the number of crashes of cold targets, Wrong that of error answers received by callers.
	Crashed, Wrong int
	// Saturations counts the begins and ends of overload at all balancers.
	Saturations int
	runs        map[netip.AddrPort]int
}

func newResult(o Options) *Result {
	return &Result{DataCentres: make([]Counts, cmp.Or(o.DataCentres, 2)), Windows: make([]Counts, int(o.Length/windowTime)+1), runs: make(map[netip.AddrPort]int)}
}

// groups returns the counts that a request belongs to.
func (r *Result) groups(q *request) []*Counts {
	out := []*Counts{&r.Counts, r.window(q.began)}
	switch {
	case q.destination == urgentAddress:
		return append(out, &r.Urgent)
	case q.w.o.Flood > 0 && q.caller == 0:
		return append(out, &r.Flooder)
	}
	return append(out, &r.DataCentres[q.w.dataCentre(q.caller)])
}

func (r *Result) window(began time.Time) *Counts {
	return &r.Windows[min(len(r.Windows)-1, int(began.Sub(epoch)/windowTime))]
}

func (r *Result) recordRequest(q *request) {
	for _, c := range r.groups(q) {
		c.Requests++
	}
}

func (r *Result) recordLost(q *request) {
	for _, c := range r.groups(q) {
		c.Lost++
	}
}

func (r *Result) recordAnswer(q *request, inTime bool) {
	for _, c := range r.groups(q) {
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	}
}

func (r *Result) recordRun(source netip.AddrPort) {
	r.runs[source]++
	if r.runs[source] > 1 {
		r.RanTwice++
	}
}

// Worst returns the worth of the worst window.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, c := range r.Windows {
		if c.Requests > 0 {
			worst = min(worst, c.Worth())
		}
	}
	return worst
}

// String formats the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("asked=%d in_time=%d late=%d lost=%d worth=%.4f worst=%.3f refusals=%d told=%d given_up=%d unanswered=%d twice=%d",
		r.Requests, r.InTime, r.Late, r.Lost, r.Worth(), r.Worst(), r.Refusals, r.Notified, r.Abandoned, r.Unanswered, r.RanTwice)
}
