package refusal

import (
	"testing"

	"pgregory.net/rapid"
)

// TestCoverage compares coverage with a plain set.
func TestCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c coverage
		set := make(map[uint64]bool)
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			first := rapid.Uint64Range(1, 60).Draw(t, "first")
			last := first + rapid.Uint64Range(0, 15).Draw(t, "length")
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				c.remove(interval{first, last})
				for i := first; i <= last; i++ {
					delete(set, i)
				}
				continue
			}
			if end := c.through(first); (end > 0) != set[first] || end > 0 && (!set[end] || set[end+1]) {
				t.Fatalf("through %d is %d", first, end)
			}
			var want uint64
			for i := first; i <= last; i++ {
				if !set[i] {
					want++
				}
				set[i] = true
			}
			if got := c.add(interval{first, last}); got != want {
				t.Fatalf("add %d..%d: %d new, want %d", first, last, got, want)
			}
		}
	})
}

// TestPoolKeepsTheCount checks that a pool neither loses nor duplicates refusals when entries of few or many classes
// are added, added twice, taken and put back.
func TestPoolKeepsTheCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		classes := rapid.IntRange(1, 40).Draw(t, "classes")
		p, s := newPool(limit), newStreams("p/0")
		var added, taken uint64
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			r := Record{Service: rapid.StringMatching("[a-z]").Draw(t, "service"), Count: rapid.Uint32Range(1, 3).Draw(t, "count")}
			r.Revision = uint64(rapid.IntRange(0, classes).Draw(t, "class"))
			r.DecidedBy = string(rune('a' + r.Revision))
			id := s.next(&r, p.pressure())
			e := entry{record: r, stream: id.stream, first: id.ordinal}
			p.add(e)
			added += uint64(r.Count)
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
				p.add(e)
			}
			if rapid.IntRange(0, 30).Draw(t, "take") == 0 {
				out := p.take(rapid.IntRange(1, 5).Draw(t, "taken"))
				if rapid.Bool().Draw(t, "back") {
					for _, e := range out {
						p.add(e)
					}
					continue
				}
				taken += sum(out)
				s.reset()
			}
		}
		if p.refusals()+taken != added {
			t.Fatalf("holds %d and gave %d of %d", p.refusals(), taken, added)
		}
	})
}
