package peer

import "time"

const (
	// viewBatchDelay is the minimum time for which changes are collected before a view is built.
	viewBatchDelay = 20 * time.Millisecond
	// viewWorkDivisor is the inverse of the fraction of a core that building views may use while changes continue.
	viewWorkDivisor = 100
	// maxViewDelay is the maximum delay after a view, so that views stay current on a slow machine or after a pause.
	maxViewDelay = 500 * time.Millisecond
)

// viewPace determines when the next view is built. A change after a quiet period waits only for viewBatchDelay;
// while changes continue, the rate is limited by the time that building a view takes. With thousands of members that is
// milliseconds, and a restart of all agents causes dozens of changes per second.
type viewPace struct {
	lastBuilt time.Time
	buildTime time.Duration
}

// record records when building a view began and ended.
func (p *viewPace) record(begin, end time.Time) {
	p.lastBuilt = end
	p.buildTime = end.Sub(begin)
}

// wait returns how long to collect changes from now on.
func (p *viewPace) wait(now time.Time) time.Duration {
	interval := min(p.buildTime*viewWorkDivisor, maxViewDelay)
	return max(viewBatchDelay, p.lastBuilt.Add(interval).Sub(now))
}
