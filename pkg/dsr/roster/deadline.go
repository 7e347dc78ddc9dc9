package roster

import (
	"container/heap"
	"time"
)

// deadline is the time at which a peer has to be looked at again: its state may have changed by itself. What it says may be
// too early, but not too late. A deadline is in one queue, or in none.
type deadline struct {
	at    time.Time
	peer  *peer
	queue *deadlines
	index int
}

// set enters the deadline in a queue, or changes its time.
func (d *deadline) set(q *deadlines, e *peer, at time.Time) {
	d.at = at
	if d.queue != nil {
		heap.Fix(d.queue, d.index)
		return
	}
	d.peer = e
	heap.Push(q, d)
}

// clear removes the deadline from its queue.
func (d *deadline) clear() {
	if d.queue != nil {
		heap.Remove(d.queue, d.index)
	}
}

// deadlines is a queue of deadlines, the first one on top. It implements heap.Interface.
type deadlines []*deadline

func (q deadlines) Len() int           { return len(q) }
func (q deadlines) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q deadlines) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *deadlines) Push(x any) {
	d := x.(*deadline)
	d.queue, d.index = q, len(*q)
	*q = append(*q, d)
}

// Pop implements heap.Interface.
func (q *deadlines) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	d.queue = nil
	return d
}

// next returns the peer whose deadline has passed first, or nil.
func (q deadlines) next(now time.Time) *peer {
	if len(q) == 0 || q[0].at.After(now) {
		return nil
	}
	return q[0].peer
}
