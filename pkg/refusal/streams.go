package refusal

// widthSteps is the number of steps above the limit, as parts of the limit, at which classes get wider.
const widthSteps = 8

// streams gives each refusal its place in the stream of its class.
type streams struct {
	origin  string
	number  uint64
	byClass map[class]*identity
}

func newStreams(origin string) *streams {
	return &streams{origin: origin, byClass: make(map[class]*identity)}
}

// next returns the identity of a record's first refusal and moves the stream by its count.
func (s *streams) next(r *Record, held, limit int) identity {
	c := classOf(r, widths[pressure(held, limit)])
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
func pressure(held, limit int) int {
	switch {
	case held < limit:
		return 0
	case held < limit+limit/widthSteps:
		return 1
	}
	return 2
}
