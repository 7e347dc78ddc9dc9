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

// end is the last ordinal covered.
func (e *entry) end() uint64 {
	return e.first + uint64(e.record.Count) - 1
}

// joins reports whether next goes on where e ends and the sum of both can be counted.
func (e *entry) joins(next *entry) bool {
	return e.stream == next.stream && e.end()+1 == next.first &&
		uint64(e.record.Count)+uint64(next.record.Count) <= math.MaxUint32
}

// join takes next into e. The details of the first stay.
func (e *entry) join(next *entry) {
	e.record.Callers = common(callersOf(&e.record), callersOf(&next.record))
	e.record.Count += next.record.Count
	last := next.record.Time
	if next.record.Last.After(last) {
		last = next.record.Last
	}
	if last.After(e.record.Last) {
		e.record.Last = last
	}
}

// has reports whether the refusal with this ID is in the entry.
func (e *entry) has(id string) bool {
	i := parseID(id)
	return i.stream == e.stream && e.first <= i.ordinal && i.ordinal <= e.end()
}

// cutBefore leaves out the ordinals below first; it must be within the interval.
func (e *entry) cutBefore(first uint64) {
	e.record.Count -= uint32(first - e.first)
	e.first = first
	e.record.ID = identity{stream: e.stream, ordinal: first}.format()
}
