// Package warmup limits the new flows of a target while it warms up after its start.
//
// It does no input or output and reads no clock. It protects targets that fail when they get their full load before
// their caches are filled: restarted together, they would otherwise fail together, start cold again, and get the
// whole load once more.
package warmup

import (
	"math"
	"time"
)

// span is the time over which new flows are counted. The limit holds for every span, wherever it begins. A flow of
// exactly a span ago still counts, since it reaches the target a moment after it was counted.
const span = time.Second

type Window struct {
	// taken are the times of the last flows, the oldest first.
	taken []time.Time
}

func (w *Window) Record(now time.Time) {
	w.evict(now)
	w.taken = append(w.taken, now)
}

// Count is the number of flows of the last second, as of the last call of Record or Room.
func (w *Window) Count() int { return len(w.taken) }

// Room is the number of flows that may be taken now when perSecond may be taken in any second.
func (w *Window) Room(now time.Time, perSecond float64) int {
	w.evict(now)
	return max(0, bound(perSecond)-len(w.taken))
}

// Next is the earliest time at which there is room, given the flows counted so far; the zero time when there is room
// now.
func (w *Window) Next(perSecond float64) time.Time {
	over := len(w.taken) - bound(perSecond)
	if over < 0 {
		return time.Time{}
	}
	return w.taken[over].Add(span + time.Nanosecond)
}

func (w *Window) evict(now time.Time) {
	n := 0
	for n < len(w.taken) && now.Sub(w.taken[n]) > span {
		n++
	}
	if n > 0 {
		w.taken = append(w.taken[:0], w.taken[n:]...)
	}
}

// bound is the whole number of flows within a rate, at least 1: a target without any flow would never warm up.
func bound(perSecond float64) int { return max(1, int(math.Floor(perSecond))) }
