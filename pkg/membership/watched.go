package membership

import "time"

// watched is what an observer knows of a member that it watches.
type watched struct {
	member   Member
	watchers []string
	// silentSince is when the member was last heard, or when the watch began.
	silentSince time.Time
	seen        bool
	// failed is set when the member's host or connection reported that the process is gone.
	failed bool
	// lastVote is when the observer last lastVote against the member; zero when it doesn't suspect it.
	lastVote time.Time
}

// isSuspect reports whether the member has been silent for too long.
func (w *watched) isSuspect(c *DetectorConfig, now time.Time) bool {
	if w.failed {
		return true
	}
	limit := c.SuspectAfter
	if !w.seen {
		limit = c.Grace
	}
	return now.Sub(w.silentSince) > limit
}

// matchesRecord reports whether a vote is about the record that is known here.
func (w *watched) matchesRecord(v Vote) bool {
	return v.Incarnation == w.member.Incarnation && v.Sequence == w.member.Sequence
}
