package warmup

import (
	"math"
	"time"
)

// Limits of what is learnt.
const (
	// EarlyFailureAge is the age below which the end of a target is put down to what it was given: a warm-up takes seconds.
	EarlyFailureAge = 6 * time.Second
	// minEarlyFailures is the number of processes in a row that end young until a limit is taken for the cause: one may end for any reason.
	minEarlyFailures = 2
	// reduction is the part of the flows that ended a target which the next process gets, growth the factor by which that rises each second.
	reduction       = 0.5
	growthPerSecond = 1.5
)

// Learner finds out what a target takes while it is cold from processes that ended soon after their start. The zero value knows no limit.
//
// It answers for targets that fail under their full load when they are cold and whose service declares no limit.
type Learner struct {
	// perSecond is what the present process is given in its first second; 0 for no limit.
	perSecond float64
	// peak is the highest number of flows that it got in one second.
	peak int
	// earlyFailures is the number of processes in a row that ended young.
	earlyFailures int
}

// RecordFlows notes the number of flows that the present process got in the last second.
func (l *Learner) RecordFlows(flows int) { l.peak = max(l.peak, flows) }

// RecordEnd takes the end of a process by itself at an age. Young ones in a row are taken for overloaded; one that had grown old says
// that there is no limit any more.
func (l *Learner) RecordEnd(age time.Duration) {
	peak := l.peak
	l.peak = 0
	if age >= EarlyFailureAge || peak <= 1 {
		l.earlyFailures, l.perSecond = 0, 0
		return
	}
	l.earlyFailures++
	if l.earlyFailures >= minEarlyFailures {
		l.perSecond = max(1, reduction*float64(peak))
	}
}

// Rate is the number of flows that a process of an age is given in a second; 0 for no limit.
func (l *Learner) Rate(age time.Duration) float64 {
	if l.perSecond == 0 || age >= EarlyFailureAge {
		return 0
	}
	return l.perSecond * math.Pow(growthPerSecond, math.Floor(age.Seconds()))
}
