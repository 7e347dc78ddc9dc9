package refusal

// receipt confirms that records are in the store, so that copies of them can be removed. It is sent with mirrored
// records as a Record with Count 0 and only an ID: with ordinal 0 it covers all streams of the origin up to the number,
// otherwise the stream up to the ordinal.
type receipt struct {
	stream  stream
	ordinal uint64
}

// record returns the receipt as a mirrored record.
func (r receipt) record() Record {
	return Record{ID: identity(r).format()}
}

// receiptOf returns the receipt in a mirrored record; false if the record is not a receipt.
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

// coversStart reports whether the first part of the entry, but not all of it, is in the store.
func (r receipt) coversStart(e *entry) bool {
	return r.ordinal != 0 && e.stream == r.stream && e.first <= r.ordinal && r.ordinal < e.end()
}
