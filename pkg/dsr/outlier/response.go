package outlier

import "time"

// ResponseWindowSize is the number of recent responses in a ResponseWindow. Where one response in ten is short and
// fast, as one that says that nothing has changed, four of five targets have one in the window, so that these do not
// stand out.
const ResponseWindowSize = 16

// A response may be an error if it takes less than fastFraction of the typical minimum time, or is smaller than
// smallFraction of the typical minimum size.
const (
	fastFraction  = 0.5
	smallFraction = 0.125
)

// Response describes one response of a target as seen on the network, or the minimum of several.
type Response struct {
	// Time is the time from the request to the first byte, Bytes the size.
	Time  time.Duration
	Bytes uint32
}

// LooksFailed reports whether a response is both faster and smaller than the typical one, and one of them by far: it
// may well be an error that took no work. Neither alone suffices, since a target may be fast, or compress its
// responses. The typical response is the median over the targets of their minimum responses, or the zero value when it
// is not known.
func (a Response) LooksFailed(typical Response) bool {
	if a.Time >= typical.Time || a.Bytes >= typical.Bytes {
		return false
	}
	return float64(a.Time) < fastFraction*float64(typical.Time) || float64(a.Bytes) < smallFraction*float64(typical.Bytes)
}

// ResponseWindow keeps the last responses to requests for one address. The zero value is empty.
type ResponseWindow struct {
	last  [ResponseWindowSize]Response
	count int
}

// Add adds a response, in place of the oldest one when the window is full.
func (l *ResponseWindow) Add(a Response) {
	l.last[l.count%ResponseWindowSize] = a
	l.count++
}

// Count returns the number of responses added so far.
func (l *ResponseWindow) Count() int { return l.count }

// Minimum returns the minimum time and the minimum size in the window, or false while the window is not full.
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
