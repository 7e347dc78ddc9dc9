package outlier

import "time"

// ResponseWindowSize is the number of last answers whose least is taken. Where one answer in ten is short and fast, as one that says that nothing
// has changed, four of five targets have one among them, so that such answers do not stand out.
const ResponseWindowSize = 16

// An answer may be an error that takes less than fast of the usual least time, or is smaller than short of the usual smallest one.
const (
	fast  = 0.5
	short = 0.125
)

// Response is what is seen of an answer from outside, or the least of several.
type Response struct {
	// Time is the time from the request to the first byte, Bytes the size.
	Time  time.Duration
	Bytes uint32
}

// LooksFailed reports whether an answer began earlier than is usual and is smaller than is usual, one of them by far: it may well be an error
// that took no work. Neither alone says so, since a target may be fast, or compress its answers. The usual is the least answer of the
// median target, the zero value when it is not known.
func (a Response) LooksFailed(usual Response) bool {
	if a.Time >= usual.Time || a.Bytes >= usual.Bytes {
		return false
	}
	return float64(a.Time) < fast*float64(usual.Time) || float64(a.Bytes) < short*float64(usual.Bytes)
}

// ResponseWindow keeps the last answers to requests for one address. The zero value has none.
type ResponseWindow struct {
	last  [ResponseWindowSize]Response
	count int
}

// Add takes an answer.
func (l *ResponseWindow) Add(a Response) {
	l.last[l.count%ResponseWindowSize] = a
	l.count++
}

// Count is the number of answers so far.
func (l *ResponseWindow) Count() int { return l.count }

// Minimum is the least of the last answers; it is known once there were enough.
func (l *ResponseWindow) Minimum() (Response, bool) {
	if l.count < ResponseWindowSize {
		return Response{}, false
	}
	out := l.last[0]
	for _, a := range l.last[1:] {
		out.Time = min(out.Time, a.Time)
		out.Bytes = min(out.Bytes, a.Bytes)
	}
	return out, true
}
