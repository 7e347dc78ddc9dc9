package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
)

// limits are the numbers of requests up to which the target is given further ones, by kind.
type limits struct {
	// open applies to requests on open flows, newFlow to new flows.
	open, newFlow int
	// urgent applies to new flows with a priority above lowest.
	urgent, lowest int
}

// limits returns the current limits. A new flow that is more urgent than other requests at the target shares the limit
// of those on open flows. The rest leave the target's own queue to open flows: only a new flow can be sent elsewhere.
func (t *Table) limits(now time.Time) limits {
	newFlow := t.concurrencyLimit(now)
	l := limits{open: t.openLimit(), newFlow: newFlow, urgent: newFlow, lowest: t.lowestPriority}
	if t.further > 0 && newFlow == t.requestLimit() {
		l.urgent = l.open
	}
	return l
}

// of returns the limit for a new flow with the given priority.
func (l limits) of(priority int) int {
	if priority < l.lowest {
		return l.urgent
	}
	return l.newFlow
}

// allows reports whether a request may be given to a target that has busy ones.
func (l limits) allows(r admission.Request, busy int) bool {
	if r.Open {
		return busy < l.open
	}
	return busy < l.of(r.Priority)
}

// openLimit is the number of requests up to which the target is given requests on open flows: half of what it finishes
// while they can still be answered in the least promised time. The other half is for waiting in the order of all.
func (t *Table) openLimit() int {
	limit := t.requestLimit()
	if t.leastAim == 0 || t.cfg.Without.RequestQueue {
		return limit
	}
	slack := t.queue.Slack(t.leastAim, t.workTime()) / 2
	return max(limit, t.slots()+int(float64(t.slots())*float64(slack)/float64(t.workTime())))
}

// repeatsRequests reports whether callers have lately sent several requests on a flow.
func (t *Table) repeatsRequests(now time.Time) bool {
	return !t.lastFurther.IsZero() && now.Sub(t.lastFurther) <= MaxFlowAge
}

// backlog is the time until a target with the given number of requests begins the next one.
func (t *Table) backlog(requests int) time.Duration {
	return time.Duration(max(0, requests-t.slots()+1)) * t.workTime() / time.Duration(t.slots())
}

// overloaded reports whether a new flow would be late because of others. The target may be given it only when it has
// finished what exceeds the limit.
func (t *Table) overloaded(now time.Time, r admission.Request) bool {
	if !t.repeatsRequests(now) {
		return false
	}
	limit := t.limits(now).of(r.Priority)
	backlog := t.backlog(min(t.busy, limit-1))
	return t.queue.Overloaded(now, r, t.workTime(), t.slots(), max(0, t.busy-limit), backlog)
}
