package warmup

import (
	"math"
	"time"
)

// Limits of the estimate.
const (
	// EarlyFailureAge is the age below which the end of a process is attributed to its load: a warm-up takes seconds.
	EarlyFailureAge = 6 * time.Second
	// minEarlyFailures is the number of early failures in a row after which a limit is set: a single one may have any
	// cause.
	minEarlyFailures = 2
	// reduction is the fraction of the flows of a failed process that the next one gets, growthPerSecond the factor
	// by which that rises each second.
	reduction       = 0.5
	growthPerSecond = 1.5
)

// Learner estimates how many flows a target can take while it is cold, from processes that ended soon after their
// start. The zero value has no limit.
//
// It protects targets that fail under full load while they are cold and whose service declares no limit.
type Learner struct {
	// perSecond is the limit of the current process in its first second; 0 for no limit.
	perSecond float64
	// peak is the highest number of flows that the current process got in one second.
	peak int
	// earlyFailures is the number of processes in a row that ended early.
	earlyFailures int
}

// RecordFlows records the number of flows that the current process got in the last second.
func (l *Learner) RecordFlows(flows int) { l.peak = max(l.peak, flows) }

// RecordEnd records that a process ended by itself at an age. Early ends in a row count as overload; the end of an
// older or unused process removes the limit.
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

// Rate is the number of flows that a process of an age may get in a second; 0 for no limit.
func (l *Learner) Rate(age time.Duration) float64 {
	if l.perSecond == 0 || age >= EarlyFailureAge {
		return 0
	}
	return l.perSecond * math.Pow(growthPerSecond, math.Floor(age.Seconds()))
}
