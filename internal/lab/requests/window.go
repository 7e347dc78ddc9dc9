package requests

import "time"

// window is the period in which goodput is counted: the offered load is steady and the queues have had time to fill.
type window struct{ from, to time.Time }

// newWindow skips the length of one deadline at the start, but at most a third of the run.
func newWindow(start, end time.Time, deadline time.Duration) window {
	return window{from: start.Add(min(deadline, end.Sub(start)/3)), to: end}
}

// rate returns the number of events per second within the window.
func (w window) rate(events []time.Time) float64 {
	n := 0
	for _, at := range events {
		if !at.Before(w.from) && !at.After(w.to) {
			n++
		}
	}
	return float64(n) / w.to.Sub(w.from).Seconds()
}
