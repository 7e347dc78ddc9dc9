package overload

import "time"

// learningTime is the averaging time of this balancer's part in all requests: long enough for a precise ratio, and to
// follow callers that move to other balancers.
const learningTime = 10 * time.Second

// arrivals are the flows of one service and priority that reach one balancer.
type arrivals struct {
	// offered are the flows that callers open.
	offered rate
	// taken are those that are not refused, later the further requests on open flows as seen by this balancer, and reported
	// the requests that all targets report, averaged alike.
	taken, later, reported rate
	seen                   bool
}

func (a *arrivals) init() {
	if a.seen {
		return
	}
	a.seen = true
	a.offered.over = arrivalTime
	a.taken.over, a.later.over, a.reported.over = learningTime, learningTime, learningTime
}

// learn adds the demand that the targets reported, weighted by the time for which it held, in seconds.
func (a *arrivals) learn(now time.Time, perSecond, weight float64) {
	a.reported.record(now, perSecond*weight)
}

// requests is the number of requests that this balancer has seen lately, each flow that it took counting as one.
func (a *arrivals) requests(now time.Time) float64 {
	return a.taken.decayed(now) + a.later.decayed(now)
}

// minRequests is the number of requests from which a balancer can tell its part in all requests.
const minRequests = 10

// split estimates the demand of all callers from that of this balancer's. Where it has seen too little, all of what the
// targets report counts as demand that cannot be refused.
func (a *arrivals) split(now time.Time, reported float64) split {
	seen := a.requests(now)
	if seen < minRequests {
		return split{open: reported}
	}
	scale := a.reported.decayed(now) / seen
	return split{
		open:    reported * a.later.decayed(now) / seen,
		offered: scale * a.offered.perSecond(now),
	}
}
