package refusal

import (
	"cmp"
	"slices"
)

// interval is a closed interval of ordinals.
type interval struct {
	first, last uint64
}

// coverage is a set of ordinals of a stream: sorted intervals that do not touch.
type coverage struct {
	parts []interval
}

// through returns the end of the interval that holds an ordinal; 0 when none does.
func (c *coverage) through(ordinal uint64) uint64 {
	for i := len(c.parts) - 1; i >= 0; i-- {
		p := c.parts[i]
		if p.first <= ordinal && ordinal <= p.last {
			return p.last
		}
	}
	return 0
}

// add takes an interval in and returns how many of its ordinals are new.
func (c *coverage) add(in interval) uint64 {
	if n := len(c.parts); n > 0 && c.parts[n-1].last+1 == in.first {
		c.parts[n-1].last = in.last // The usual case: the stream goes on.
		return in.last - in.first + 1
	}
	fresh := in.last - in.first + 1
	merged := in
	var out []interval
	for _, p := range c.parts {
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
	c.parts = out
	return fresh
}

// remove takes an interval out.
func (c *coverage) remove(out interval) {
	var kept []interval
	for _, p := range c.parts {
		if p.first < out.first {
			kept = append(kept, interval{p.first, min(p.last, out.first-1)})
		}
		if p.last > out.last {
			kept = append(kept, interval{max(p.first, out.last+1), p.last})
		}
	}
	c.parts = kept
}
