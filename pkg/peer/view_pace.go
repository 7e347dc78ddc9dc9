package peer

import "time"

const (
	// viewBatchDelay is how long changes are gathered before a view is built.
	viewBatchDelay = 20 * time.Millisecond
	// viewWorkDivisor is the inverse of the part of a core that building views may take while changes go on.
	viewWorkDivisor = 100
	// maxViewDelay bounds the time between two views, so that a slow or paused machine stays current.
	maxViewDelay = 500 * time.Millisecond
)

// viewPace decides when the next view is built. A change after a quiet time waits for the gather time only; while changes
// go on, views are built as often as their processor time allows. With thousands of members a view takes milliseconds,
// and a restart of all agents brings dozens of changes a second.
type viewPace struct {
	lastBuilt time.Time
	buildTime time.Duration
}

// record takes down when a view was begun and finished.
func (p *viewPace) record(begin, end time.Time) {
	p.lastBuilt = end
	p.buildTime = end.Sub(begin)
}

// delay returns how long to gather changes from now on.
func (p *viewPace) delay(now time.Time) time.Duration {
	pause := min(p.buildTime*viewWorkDivisor, maxViewDelay)
	return max(viewBatchDelay, p.lastBuilt.Add(pause).Sub(now))
}
