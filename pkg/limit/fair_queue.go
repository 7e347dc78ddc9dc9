package limit

import "slices"

// fairQueue serves the callers that have waiting work round robin, and each caller's work in FIFO order.
type fairQueue struct {
	callers map[string][]*Work
	turns   []string
	size    int
}

func newFairQueue() fairQueue {
	return fairQueue{callers: make(map[string][]*Work)}
}

func (q *fairQueue) push(w *Work) {
	if len(q.callers[w.Caller]) == 0 {
		q.turns = append(q.turns, w.Caller)
	}
	q.callers[w.Caller] = append(q.callers[w.Caller], w)
	q.size++
}

// pushFront puts work at the front of the queue.
func (q *fairQueue) pushFront(w *Work) {
	if len(q.callers[w.Caller]) == 0 {
		q.turns = slices.Insert(q.turns, 0, w.Caller)
	}
	q.callers[w.Caller] = slices.Insert(q.callers[w.Caller], 0, w)
	q.size++
}

// pop returns the next work, or nil.
func (q *fairQueue) pop() *Work {
	if q.size == 0 {
		return nil
	}
	caller := q.turns[0]
	w := q.callers[caller][0]
	q.turns = q.turns[1:]
	q.removeAt(caller, 0)
	if len(q.callers[caller]) > 0 {
		q.turns = append(q.turns, caller)
	}
	return w
}

func (q *fairQueue) removeAt(caller string, i int) {
	rest := slices.Delete(q.callers[caller], i, i+1)
	q.size--
	if len(rest) == 0 {
		delete(q.callers, caller)
		return
	}
	q.callers[caller] = rest
}

func (q *fairQueue) remove(w *Work) {
	i := slices.Index(q.callers[w.Caller], w)
	if i < 0 {
		return
	}
	q.removeAt(w.Caller, i)
	if len(q.callers[w.Caller]) == 0 {
		q.turns = slices.Delete(q.turns, slices.Index(q.turns, w.Caller), slices.Index(q.turns, w.Caller)+1)
	}
}

// ahead returns how much work starts before a caller's work at the given index of the caller's own queue.
func (q *fairQueue) ahead(caller string, index int) int {
	n := index
	for other, line := range q.callers {
		if other != caller {
			n += min(len(line), index+1)
		}
	}
	return n
}

// position returns how much work starts before w.
func (q *fairQueue) position(w *Work) int {
	return q.ahead(w.Caller, slices.Index(q.callers[w.Caller], w))
}

// tailOfLongest returns the last work of the caller with the most waiting work.
func (q *fairQueue) tailOfLongest() *Work {
	var last *Work
	most := 0
	for _, caller := range q.turns {
		line := q.callers[caller]
		if len(line) > most {
			most, last = len(line), line[len(line)-1]
		}
	}
	return last
}
