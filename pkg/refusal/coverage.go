package refusal

import (
	"cmp"
	"slices"
)

// interval is a closed interval of ordinals.
type interval struct {
	first, last uint64
}

// coverage is the set of the ordinals of a stream that were counted: sorted intervals that do not touch.
type coverage struct {
	parts []interval
}

// add takes an interval in and returns how many of its ordinals are new.
func (c *coverage) add(in interval) uint64 {
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
