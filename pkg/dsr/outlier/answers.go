package outlier

import "time"

// LeastOf is the number of last answers whose least is taken. Where one answer in ten is short and fast, as one that says that nothing
// has changed, four of five targets have one among them, so that such answers do not stand out.
const LeastOf = 16

// An answer may be an error that takes less than fast of the usual least time, or is smaller than short of the usual smallest one.
const (
	fast  = 0.5
	short = 0.125
)

// Answer is what is seen of an answer from outside, or the least of several.
type Answer struct {
	// Time is the time from the request to the first byte, Bytes the size.
	Time  time.Duration
	Bytes uint32
}

// LooksFailed reports whether an answer began earlier than is usual and is smaller than is usual, one of them by far: it may well be an error
// that took no work. Neither alone says so, since a target may be fast, or compress its answers. The usual is the least answer of the
// median target, the zero value when it is not known.
func (a Answer) LooksFailed(usual Answer) bool {
	if a.Time >= usual.Time || a.Bytes >= usual.Bytes {
		return false
	}
	return float64(a.Time) < fast*float64(usual.Time) || float64(a.Bytes) < short*float64(usual.Bytes)
}

// Least keeps the last answers to requests for one address. The zero value has none.
type Least struct {
	last  [LeastOf]Answer
	count int
}

// Add takes an answer.
func (l *Least) Add(a Answer) {
	l.last[l.count%LeastOf] = a
	l.count++
}

// Count is the number of answers so far.
func (l *Least) Count() int { return l.count }

// Value is the least of the last answers; it is known once there were enough.
func (l *Least) Value() (Answer, bool) {
	if l.count < LeastOf {
		return Answer{}, false
	}
	out := l.last[0]
	for _, a := range l.last[1:] {
		out.Time = min(out.Time, a.Time)
		out.Bytes = min(out.Bytes, a.Bytes)
	}
	return out, true
}
