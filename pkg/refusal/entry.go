package refusal

import "math"

// entry is a record with the interval of its stream that it covers.
type entry struct {
	record Record
	stream stream
	first  uint64
}

func entryOf(r Record) entry {
	r.Count = max(r.Count, 1)
	id := parseID(r.ID)
	return entry{record: r, stream: id.stream, first: id.ordinal}
}

// end returns the last ordinal covered.
func (e *entry) end() uint64 {
	return e.first + uint64(e.record.Count) - 1
}

// canMerge reports whether next continues e in the same stream and the sum of their counts does not overflow.
func (e *entry) canMerge(next *entry) bool {
	return e.stream == next.stream && e.end()+1 == next.first &&
		uint64(e.record.Count)+uint64(next.record.Count) <= math.MaxUint32
}

// merge adds next to e. The details of e are kept.
func (e *entry) merge(next *entry) {
	e.record.Callers = commonPrefix(callerPrefix(&e.record), callerPrefix(&next.record))
	e.record.Count += next.record.Count
	last := next.record.Time
	if next.record.Last.After(last) {
		last = next.record.Last
	}
	if last.After(e.record.Last) {
		e.record.Last = last
	}
}

// contains reports whether the entry covers the refusal with this ID.
func (e *entry) contains(id string) bool {
	i := parseID(id)
	return i.stream == e.stream && e.first <= i.ordinal && i.ordinal <= e.end()
}

// trimBefore removes the ordinals below first, which must be within the interval.
func (e *entry) trimBefore(first uint64) {
	e.record.Count -= uint32(first - e.first)
	e.first = first
	e.record.ID = identity{stream: e.stream, ordinal: first}.format()
}
