package outlier

import "time"

// AnswerWindowSize is the number of recent answers in an AnswerWindow. Where one answer in ten is short and fast, as
// one that says that nothing has changed, four of five targets have one in the window, so that these do not stand out.
const AnswerWindowSize = 16

// An answer may be an error if it takes less than fastFraction of the typical minimum time, or is smaller than
// smallFraction of the typical minimum size.
const (
	fastFraction  = 0.5
	smallFraction = 0.125
)

// Answer describes one answer of a target as seen on the network, or the minimum of several.
type Answer struct {
	// Time is the time from the request to the first byte, Bytes the size.
	Time  time.Duration
	Bytes uint32
}

// LooksFailed reports whether an answer is both faster and smaller than the typical one, and one of them by far: it may
// well be an error that took no work. Neither alone suffices, since a target may be fast, or compress its answers. The
// typical answer is the median over the targets of their minimum answers, or the zero value when it is not known.
func (a Answer) LooksFailed(typical Answer) bool {
	if a.Time >= typical.Time || a.Bytes >= typical.Bytes {
		return false
	}
	return float64(a.Time) < fastFraction*float64(typical.Time) || float64(a.Bytes) < smallFraction*float64(typical.Bytes)
}

// AnswerWindow keeps the last answers to requests for one address. The zero value is empty.
type AnswerWindow struct {
	last  [AnswerWindowSize]Answer
	count int
}

// Add adds an answer, in place of the oldest one when the window is full.
func (l *AnswerWindow) Add(a Answer) {
	l.last[l.count%AnswerWindowSize] = a
	l.count++
}

// Count returns the number of answers added so far.
func (l *AnswerWindow) Count() int { return l.count }

// Minimum returns the minimum time and the minimum size in the window, or false while the window is not full.
func (l *AnswerWindow) Minimum() (Answer, bool) {
	if l.count < AnswerWindowSize {
		return Answer{}, false
	}
	out := l.last[0]
	for _, a := range l.last[1:] {
		out.Time = min(out.Time, a.Time)
		out.Bytes = min(out.Bytes, a.Bytes)
	}
	return out, true
}
