package peer

import "time"

const (
	// viewGatherTime is how long changes are gathered before a view is built.
	viewGatherTime = 20 * time.Millisecond
	// viewWork is the inverse of the part of a core that building views may take while changes go on.
	viewWork = 100
	// maxViewPause bounds the time between two views, so that a slow or paused machine stays current.
	maxViewPause = 500 * time.Millisecond
)

// viewPace decides when the next view is built. A change after a quiet time waits for the gather time only; while changes
// go on, views are built as often as their processor time allows. With thousands of members a view takes milliseconds,
// and a restart of all agents brings dozens of changes a second.
type viewPace struct {
	built time.Time
	took  time.Duration
}

// note takes down when a view was begun and finished.
func (p *viewPace) note(begin, end time.Time) {
	p.built = end
	p.took = end.Sub(begin)
}

// wait returns how long to gather changes from now on.
func (p *viewPace) wait(now time.Time) time.Duration {
	pause := min(p.took*viewWork, maxViewPause)
	return max(viewGatherTime, p.built.Add(pause).Sub(now))
}
