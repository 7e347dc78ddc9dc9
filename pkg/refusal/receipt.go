package refusal

// receipt says that records are in the store, so that copies of them may be forgotten. It travels with mirrored records
// as a Record with Count 0 and only an ID: of ordinal 0 for all streams of the origin up to the number, otherwise for
// the stream up to the ordinal.
type receipt struct {
	stream  stream
	ordinal uint64
}

// record is the receipt's form among mirrored records.
func (r receipt) record() Record {
	return Record{ID: identity(r).format()}
}

// receiptOf reads a receipt; false when the record is none.
func receiptOf(r *Record) (receipt, bool) {
	if r.Count != 0 {
		return receipt{}, false
	}
	id, ok := splitID(r.ID)
	return receipt(id), ok
}

// covers reports whether all of the entry is in the store.
func (r receipt) covers(e *entry) bool {
	if r.ordinal == 0 {
		return e.stream.origin == r.stream.origin && e.stream.number <= r.stream.number
	}
	return e.stream == r.stream && e.end() <= r.ordinal
}

// cuts reports whether the first part of the entry, but not all, is in the store.
func (r receipt) cuts(e *entry) bool {
	return r.ordinal != 0 && e.stream == r.stream && e.first <= r.ordinal && r.ordinal < e.end()
}
