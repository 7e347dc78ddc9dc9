package membership

import "time"

// watched is what an observer knows of a member that it watches.
type watched struct {
	member   Member
	watchers []string
	// silentSince is when the member was last heard, or when the watch began.
	silentSince time.Time
	heard       bool
	// refused is set when the member's host or connection reported that the process is gone.
	refused bool
	// voted is when the observer last voted against the member; zero when it doesn't suspect it.
	voted time.Time
}

// missed reports whether the member has been silent for too long.
func (w *watched) missed(c *DetectorConfig, now time.Time) bool {
	if w.refused {
		return true
	}
	limit := c.SuspectAfter
	if !w.heard {
		limit = c.Grace
	}
	return now.Sub(w.silentSince) > limit
}

// current reports whether a vote is about the record that is known here.
func (w *watched) current(v Vote) bool {
	return v.Incarnation == w.member.Incarnation && v.Sequence == w.member.Sequence
}
