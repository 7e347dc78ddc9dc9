package membership

import "time"

// watched is the observer's state of a member that it watches.
type watched struct {
	member   Member
	watchers []string
	// silentSince is when the member was last seen, or when the watch or the member's incarnation began.
	silentSince time.Time
	seen        bool
	// failed is set when the member's host refused a packet or its heartbeat stream broke.
	failed bool
	// lastVote is when the observer last sent a vote against the member; zero when it has none against it.
	lastVote time.Time
}

// isSuspect reports whether the member has failed or has been silent for too long.
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

// matchesRecord reports whether a vote is about the record that the observer holds.
func (w *watched) matchesRecord(v Vote) bool {
	return v.Incarnation == w.member.Incarnation && v.Sequence == w.member.Sequence
}
