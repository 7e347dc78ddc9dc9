package dsrd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
)

// Times of the checks of the configuration.
const (
	// checkInterval is the time after which another balancer checks when none has confirmed that the configuration in
	// force is the newest: a watch, and a margin for its answer. An accepted configuration must be in force within
	// three seconds.
	checkInterval = 900 * time.Millisecond
	// checkStagger is added for each living balancer that checks before this one, so that one of them checks for all.
	checkStagger = 150 * time.Millisecond
	// maxStagger bounds the sum of the staggers.
	maxStagger = 900 * time.Millisecond
	// propagationTime is how long the result of a check takes to reach all balancers where it is passed on from one
	// to the next.
	propagationTime = 500 * time.Millisecond
	// startWait is how long a balancer that has just started waits for a message of those in its settings. If all of them
	// read the object API at once, the calls of a start of all would grow with their number.
	startWait = 300 * time.Millisecond
	// settleTime is the time in which balancers that start together meet. Until then, many of them know none that comes
	// before them.
	settleTime = roster.EagerTime
	// failurePause is the pause after a failed check, doubled with each further one up to maxFailurePause, since each
	// call in an outage is charged to the object API's budget.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 800 * time.Millisecond
	// retryRate is the number of checks a second that all balancers together make while checks fail.
	retryRate = 100
)

// checkSituation is what the decision whether a balancer compares its configuration with the object API depends on. The
// calls of all balancers together must not grow with their number: one checks for all, and the others take over one after
// the other when they do not hear of a check.
type checkSituation struct {
	// before is the number of living balancers that check before this one; propagation is how long the result of a check
	// may take to arrive.
	before      int
	propagation time.Duration
	// alone is set when no other balancer is alive.
	alone bool
	// watching is set while this balancer checks for others.
	watching bool
	// starting is set until a configuration is in force. With readsFirst set, the balancer then reads at once.
	starting   bool
	readsFirst bool
	// started is when the balancer started, checked when the configuration in force was last known to be the newest, and
	// adopted when it was adopted; the latter two may be zero.
	started, checked, adopted time.Time
	// newerSince is since when others report a newer configuration; zero when none does.
	newerSince time.Time
}

// due reports whether to check now. The balancer that comes first always checks.
func (s checkSituation) due(now time.Time) bool {
	switch {
	case s.watching:
		return true
	case s.starting && s.readsFirst && s.checked.IsZero():
		return true
	case s.comesFirst(now):
		return true
	case !s.newerSince.IsZero() && now.Sub(s.newerSince) >= s.fetchTime():
		return true
	}
	return now.Sub(s.lastReport()) >= s.reportTime()
}

// mayStillBeTold reports whether a balancer that has just started may leave the first read of the object API to others.
func (s checkSituation) mayStillBeTold(now time.Time) bool {
	switch {
	case s.readsFirst:
		return false
	case s.alone:
		return now.Sub(s.started) < startWait
	}
	return now.Sub(s.started) < s.reportTime()
}

// comesFirst reports whether no balancer checks before this one, as far as it can know by now.
func (s checkSituation) comesFirst(now time.Time) bool {
	age := now.Sub(s.started)
	switch {
	case s.before > 0:
		return false
	case s.readsFirst:
		return !s.starting || age >= startWait
	case s.alone:
		return age >= startWait
	}
	return age >= settleTime
}

// fetchTime is how long a newer configuration may take to be fetched from another balancer, which takes less time and fewer
// bytes than a read of the object API. When all start together, each may have to ask several times.
func (s checkSituation) fetchTime() time.Duration {
	if s.starting {
		return fetchTimeout + stagger(s.before)
	}
	return fetchTimeout
}

// reportTime is how long the report of a check by another balancer may take to arrive.
func (s checkSituation) reportTime() time.Duration {
	return checkInterval + s.propagation + stagger(s.before)
}

// lastReport is when the balancer last learnt of a check, or started.
func (s checkSituation) lastReport() time.Time {
	last := s.started
	for _, at := range []time.Time{s.checked, s.adopted} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// stagger is the additional time for which a balancer leaves a check to the given number of others.
func stagger(before int) time.Duration { return min(time.Duration(before)*checkStagger, maxStagger) }

// fleetPause is the minimum pause after a failed check of a balancer that does not come first, given the number of living
// balancers. All of them check while nobody succeeds; together they make retryRate calls a second, whatever their number.
func fleetPause(before, living int) time.Duration {
	if before == 0 {
		return 0
	}
	return time.Duration(living) * time.Second / retryRate
}

// pauseAfter is the pause after a failed call, given the number of consecutive failures before it.
func pauseAfter(failures int) time.Duration {
	return min(failurePause<<min(failures, 8), maxFailurePause)
}
