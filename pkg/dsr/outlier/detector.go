// Package outlier decides from the outcomes of its requests whether a target fails more than a healthy one does, ejects
// it, and decides when it is used again.
//
// It does no I/O and reads no clock. It covers targets whose health check passes although they reset or drop requests:
// such a target answers at once, looks free, and attracts more than its share of the load. Only what is visible of a
// flow on the network counts: whether the target answered, reset it, or left it without an answer.
package outlier

import (
	"math/bits"
	"time"
)

// Limits of the detector.
const (
	// Window is the number of recent requests that are considered, Failures the number of failures among them that
	// ejects a target. A target that fails all is ejected after 8 requests, one that fails 40 of 100 after about
	// 20; one of which 5 of 100 requests end without an answer, since they are for something that it does not serve,
	// hardly ever.
	Window   = 20
	Failures = 8
	// BaseEjection is how long a target is ejected at first; each further ejection in a row doubles it up to
	// MaxEjection. Each probe may cost one request, and a target that has recovered stays unused until the ejection
	// ends.
	BaseEjection = time.Second
	MaxEjection  = 8 * time.Second
	// RecoverySuccesses is the number of consecutive requests that must succeed after an ejection until the target is
	// healthy.
	RecoverySuccesses = 3
)

// Detector tracks one target. The zero value is healthy.
type Detector struct {
	// failed holds the last Window outcomes, the newest in the lowest bit; a set bit is a failure.
	failed uint32
	// until is the end of the last ejection, ejection its duration; both are zero when the target is healthy.
	until    time.Time
	ejection time.Duration
	// successes counts the consecutive successes since the ejection ended.
	successes int
}

// State is the detector's state of the target.
type State uint8

// States of a target. Logs use their String values.
const (
	// Healthy: the target takes requests without restriction.
	Healthy State = iota
	// Ejected: the target takes no requests while others can.
	Ejected
	// Probing: the target takes one request at a time.
	Probing
)

func (s State) String() string { return [...]string{"healthy", "resting", "tried"}[s] }

func (d *Detector) State(now time.Time) State {
	switch {
	case d.ejection == 0:
		return Healthy
	case now.Before(d.until):
		return Ejected
	}
	return Probing
}

// EjectedUntil returns the end of the current ejection, or the zero time when the target is not ejected.
func (d *Detector) EjectedUntil(now time.Time) time.Time {
	if d.State(now) == Ejected {
		return d.until
	}
	return time.Time{}
}

// FailureCount returns the number of failures among the last Window requests.
func (d *Detector) FailureCount() int { return bits.OnesCount32(d.failed) }

// record adds an outcome to the window.
func (d *Detector) record(failed uint32) { d.failed = (d.failed<<1 | failed) & (1<<Window - 1) }

// RecordSuccess records an answered request. It reports whether the state has changed.
func (d *Detector) RecordSuccess(now time.Time) bool {
	d.record(0)
	if d.State(now) != Probing {
		return false
	}
	d.successes++
	if d.successes < RecoverySuccesses {
		return false
	}
	*d = Detector{}
	return true
}

// RecordFailure records a request that the target reset or left without an answer. It reports whether the state has
// changed.
func (d *Detector) RecordFailure(now time.Time) bool {
	d.record(1)
	switch d.State(now) {
	case Ejected:
		return false
	case Healthy:
		if d.FailureCount() < Failures {
			return false
		}
	}
	d.ejection = min(max(BaseEjection, 2*d.ejection), MaxEjection)
	d.until, d.successes = now.Add(d.ejection), 0
	return true
}
