// Package outlier decides from the ends of its requests whether a target fails more than a healthy one does, and when it is
// tried again.
//
// It does no input or output and reads no clock. It answers for targets whose health check is good although they reset or drop
// what they are given: such a target answers at once, looks free, and draws more than its share of the load. Only what is seen of
// a flow from outside counts: whether the target answered, reset it, or left it without an answer.
package outlier

import (
	"math/bits"
	"time"
)

// Limits of the decision.
const (
	// Window is the number of last requests that are looked at, Failures the number of failed ones among them that takes a target
	// out. A target that fails all is found after 8, one that fails 40 of 100 after about 20; one of which 5 of 100 requests end without an
	// answer, since they are for something that it does not serve, hardly ever.
	Window           = 20
	FailureThreshold = 8
	// BaseEjection is how long a target is left out at first; each further time in a row doubles it up to MaxRest. One request is
	// lost for each try, and a target that has recovered is missed for as long.
	BaseEjection = time.Second
	MaxEjection  = 8 * time.Second
	// RecoverySuccesses is the number of requests in a row that must succeed after a rest until the target counts as healthy.
	RecoverySuccesses = 3
)

// Detector judges one target. The zero value takes it for healthy.
type Detector struct {
	// failed are the last Window outcomes, the newest in the lowest bit; a set bit is a failure.
	failed uint32
	// until is the end of the present rest, rest its length; both are zero when the target has recovered.
	until time.Time
	rest  time.Duration
	// succeeded counts the successes in a row since the rest ended.
	succeeded int
}

// State is what the detector makes of the target.
type State uint8

// States of a target.
const (
	// Healthy: it takes requests as usual.
	Healthy State = iota
	// Ejected: it takes none as long as others can.
	Ejected
	// Probing: it takes one at a time.
	Probing
)

// String names a state.
func (s State) String() string { return [...]string{"healthy", "resting", "tried"}[s] }

// State returns the state at a time.
func (d *Detector) State(now time.Time) State {
	switch {
	case d.rest == 0:
		return Healthy
	case now.Before(d.until):
		return Ejected
	}
	return Probing
}

// EjectedUntil returns the end of the present rest, or zero.
func (d *Detector) EjectedUntil(now time.Time) time.Time {
	if d.State(now) == Ejected {
		return d.until
	}
	return time.Time{}
}

// FailureCount is the number of failed ones among the last requests.
func (d *Detector) FailureCount() int { return bits.OnesCount32(d.failed) }

// note adds an outcome.
func (d *Detector) note(failed uint32) { d.failed = (d.failed<<1 | failed) & (1<<Window - 1) }

// RecordSuccess takes an answered request. It reports whether the state has changed.
func (d *Detector) RecordSuccess(now time.Time) bool {
	d.note(0)
	if d.State(now) != Probing {
		return false
	}
	d.succeeded++
	if d.succeeded < RecoverySuccesses {
		return false
	}
	*d = Detector{}
	return true
}

// RecordFailure takes a request that the target reset, or left without an answer. It reports whether the state has changed.
func (d *Detector) RecordFailure(now time.Time) bool {
	d.note(1)
	switch d.State(now) {
	case Ejected:
		return false
	case Healthy:
		if d.FailureCount() < FailureThreshold {
			return false
		}
	}
	d.rest = min(max(BaseEjection, 2*d.rest), MaxEjection)
	d.until, d.succeeded = now.Add(d.rest), 0
	return true
}
