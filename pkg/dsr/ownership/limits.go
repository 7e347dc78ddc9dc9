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

func (t *Table) backlogOf(requests int) time.Duration {
	return time.Duration(max(0, requests-t.slots()+1)) * t.workTime() / time.Duration(t.slots())
}

// newFlowLimit is the number of requests up to which the target is given a new flow. One that is more urgent than others
// at the target shares the limit of requests on open flows; the others leave the target's own queue to these, since a
// caller whose flow is new can be sent elsewhere.
func (t *Table) newFlowLimit(now time.Time, priority int) int {
	limit := t.concurrencyLimit(now)
	if t.further == 0 || !t.isUrgent(priority) || limit < t.requestLimit() {
		return limit
	}
	return t.openLimit()
}

// isUrgent reports whether a priority is above the lowest one of the routes to the target.
func (t *Table) isUrgent(priority int) bool {
	for _, p := range t.promises {
		if p.priority > priority {
			return true
		}
	}
	return false
}
