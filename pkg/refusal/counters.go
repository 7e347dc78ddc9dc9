package refusal

import "github.com/uber-go/tally/v4"

// counters are the metrics of a Log.
type counters struct {
	recorded, merged, batches, writeErrors, mirrored, mirrorErrors, adopted tally.Counter
}

func newCounters(s tally.Scope) counters {
	s = s.SubScope("refusal")
	return counters{
		recorded:     s.Counter("recorded"),
		merged:       s.Counter("merged"),
		batches:      s.Counter("batches"),
		writeErrors:  s.Counter("write_errors"),
		mirrored:     s.Counter("mirrored"),
		mirrorErrors: s.Counter("mirror_errors"),
		adopted:      s.Counter("adopted"),
	}
}
