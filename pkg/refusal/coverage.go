package refusal

import (
	"cmp"
	"slices"
)

// interval is a closed interval of ordinals.
type interval struct {
	first, last uint64
}

// coverage is a set of ordinals of a stream, as sorted intervals that do not touch.
type coverage struct {
	intervals []interval
}

// through returns the end of the interval that contains an ordinal; 0 if there is none.
func (c *coverage) through(ordinal uint64) uint64 {
	for i := len(c.intervals) - 1; i >= 0; i-- {
		p := c.intervals[i]
		if p.first <= ordinal && ordinal <= p.last {
			return p.last
		}
	}
	return 0
}

// add adds an interval and returns how many of its ordinals are new.
func (c *coverage) add(in interval) uint64 {
	if n := len(c.intervals); n > 0 && c.intervals[n-1].last+1 == in.first {
		c.intervals[n-1].last = in.last // The typical case: in continues the last interval.
		return in.last - in.first + 1
	}
	fresh := in.last - in.first + 1
	merged := in
	var out []interval
	for _, p := range c.intervals {
		if p.last+1 < in.first || in.last+1 < p.first {
			out = append(out, p)
			continue
		}
		lo, hi := max(p.first, in.first), min(p.last, in.last)
		if lo <= hi {
			fresh -= hi - lo + 1
		}
		merged = interval{min(merged.first, p.first), max(merged.last, p.last)}
	}
	out = append(out, merged)
	slices.SortFunc(out, func(a, b interval) int { return cmp.Compare(a.first, b.first) })
	c.intervals = out
	return fresh
}

func (c *coverage) remove(out interval) {
	var kept []interval
	for _, p := range c.intervals {
		if p.first < out.first {
			kept = append(kept, interval{p.first, min(p.last, out.first-1)})
		}
		if p.last > out.last {
			kept = append(kept, interval{max(p.first, out.last+1), p.last})
		}
	}
	c.intervals = kept
}
