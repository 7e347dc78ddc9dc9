package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// ranked is a target's input to the ranking.
type ranked struct {
	index  uint16
	seed   uint64
	weight float64
}

func newRanked(i int, t view.Target) ranked {
	return ranked{index: uint16(i), seed: xxhash.Sum64String(t.ID), weight: capacity(t)}
}

// capacity returns the capacity that the target announces; it is constant for one incarnation, so that no operator's
// change moves a row.
func capacity(t view.Target) float64 {
	if t.Connections > 0 {
		return float64(t.Connections)
	}
	return float64(max(t.Slots, 1))
}

// score returns the weighted rendezvous score of the target for a slot; the highest wins.
func (r ranked) score(slot uint64) float64 {
	h := flow.Mix(r.seed ^ flow.Mix(slot))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -r.weight / math.Log(u)
}

// appendBest appends the indexes of the size members with the highest scores for the slot, in descending order of
// score.
func appendBest(b []uint16, members []ranked, slot uint64, size int) []uint16 {
	var best [RowSize]uint16
	var scores [RowSize]float64
	n := 0
	for _, m := range members {
		s := m.score(slot)
		if n == size && s <= scores[n-1] {
			continue
		}
		n = min(n+1, size)
		i := n - 1
		for i > 0 && s > scores[i-1] {
			scores[i], best[i] = scores[i-1], best[i-1]
			i--
		}
		scores[i], best[i] = s, m.index
	}
	return append(b, best[:n]...)
}
