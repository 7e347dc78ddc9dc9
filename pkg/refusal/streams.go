package refusal

// streams gives each refusal its place in the stream of its class.
type streams struct {
	origin  string
	number  uint64
	byClass map[class]*identity
}

func newStreams(origin string) *streams {
	return &streams{origin: origin, byClass: make(map[class]*identity)}
}

// next returns the identity of a record's first refusal and moves the stream by its count. pressure is the index of the
// width of classes.
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

// renew ends all streams; the next refusal of each class starts a new one.
func (s *streams) renew() {
	clear(s.byClass)
}

// pressure is the index of the width to use: 0 below the limit, and more when merging did not keep to it.
func (p *pool) pressure() int {
	switch {
	case p.len() < p.limit:
		return 0
	case p.len() < p.limit+p.limit/widthSteps:
		return 1
	}
	return len(widths) - 1
}
