package policy

import (
	"container/heap"
	"time"
)

// event is a scheduled call; order keeps events of the same time in the order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	do    func()
}

// events is an event queue with a virtual clock. The zero value is empty.
type events struct {
	list      []event
	scheduled int
	clock     time.Time
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// now returns the virtual time.
func (e *events) now() time.Time { return e.clock }

// after schedules do after d.
func (e *events) after(d time.Duration, do func()) { e.at(e.clock.Add(d), do) }

// at schedules do at t, or now if t has passed.
func (e *events) at(t time.Time, do func()) {
	if t.Before(e.clock) {
		t = e.clock
	}
	e.scheduled++
	heap.Push(e, event{at: t, order: e.scheduled, do: do})
}

// run runs all events up to a time and sets the clock to it.
func (e *events) run(until time.Time) {
	for len(e.list) > 0 && !e.list[0].at.After(until) {
		next := heap.Pop(e).(event)
		e.clock = next.at
		next.do()
	}
	e.clock = until
}
