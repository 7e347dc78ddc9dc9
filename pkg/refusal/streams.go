package refusal

// streams assigns each refusal to the stream of its class.
type streams struct {
	origin  string
	number  uint64
	byClass map[class]*identity
}

func newStreams(origin string) *streams {
	return &streams{origin: origin, byClass: make(map[class]*identity)}
}

// next returns the identity of a record's first refusal and advances the stream by the record's count. pressure is an
// index into widths.
func (s *streams) next(r *Record, pressure int) identity {
	c := classOf(r, widths[pressure])
	last, ok := s.byClass[c]
	if !ok {
		s.number++
		last = &identity{stream: stream{origin: s.origin, number: s.number}, ordinal: 1}
		s.byClass[c] = last
	}
	out := *last
	last.ordinal += uint64(r.Count)
	return out
}

// reset ends all streams; the next refusal of each class starts a new one.
func (s *streams) reset() {
	clear(s.byClass)
}

// pressure returns the index of the width to use: 0 below the limit, and higher when merging did not get the pool below
// it.
func (p *pool) pressure() int {
	switch {
	case p.len() < p.limit:
		return 0
	case p.len() < p.limit+p.limit/widthSteps:
		return 1
	}
	return len(widths) - 1
}
