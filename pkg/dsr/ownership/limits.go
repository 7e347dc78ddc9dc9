package ownership

import "time"

// repeatsRequests reports whether callers have lately sent several requests on a flow.
func (t *Table) repeatsRequests(now time.Time) bool {
	return !t.lastFurther.IsZero() && now.Sub(t.lastFurther) <= MaxFlowAge
}

// openLimit is the number of requests up to which the target is given requests on open flows: half of what it finishes
// while they can still be answered in the least promised time. The other half is for waiting in the order of all.
func (t *Table) openLimit() int {
	limit := t.requestLimit()
	aim := t.leastAim()
	if aim == 0 {
		return limit
	}
	slack := t.queue.Slack(aim, t.workTime()) / 2
	return max(limit, t.slots()+int(float64(t.slots())*float64(slack)/float64(t.workTime())))
}

// leastAim is the least promised time of all routes, 0 when there is none.
func (t *Table) leastAim() time.Duration {
	var least time.Duration
	for _, p := range t.promises {
		if p.aim > 0 && (least == 0 || p.aim < least) {
			least = p.aim
		}
	}
	return least
}

// backlog is the time until the target begins a request that it is given now.
func (t *Table) backlog() time.Duration { return t.backlogOf(t.busy) }

// limitBacklog is the backlog of a target that has as many requests as it is given.
func (t *Table) limitBacklog() time.Duration { return t.backlogOf(t.openLimit() - 1) }

func (t *Table) backlogOf(requests int) time.Duration {
	return time.Duration(max(0, requests-t.slots()+1)) * t.workTime() / time.Duration(t.slots())
}

// takesNewFlow reports whether the target is given a new flow now. Requests on open flows count only as far as they
// keep the answer from coming in time.
func (t *Table) takesNewFlow(now time.Time) bool {
	if t.cfg.Without.RequestQueue || t.further == 0 {
		return t.busy < t.concurrencyLimit(now)
	}
	return t.busy-t.further < t.concurrencyLimit(now) && t.busy < t.openLimit()
}

// mayOffer reports whether the target takes a new flow, also while it warms up.
func (t *Table) mayOffer(now time.Time) bool { return t.takesNewFlow(now) && t.hasRoom(now) }
