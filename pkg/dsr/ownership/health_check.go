package ownership

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// HealthChecked applies a target's answer to a health check, which proves which process runs. It reports whether the balancers
// should be notified at once.
func (t *Table) HealthChecked(now time.Time, n announcement.HealthCheck) bool {
	before, last := t.State(now), t.target
	effect := t.target.checked(now, n, t.cfg.Service)
	if effect == outdated {
		return false
	}
	if n.Began.After(t.targetActive) {
		t.targetActive = n.Began
	}
	if effect == newIncarnation {
		// Two processes that have answered, one after the other, show that the second one started in between.
		t.startIncarnation(now, last, last.known && last.identified)
	}
	t.target.seenFromStart = t.target.seenFromStart || t.sawStart(now, t.target.last)
	t.returnQueuedUnlessReady(now)
	return effect == newIncarnation || before != t.State(now)
}

// AwaitsProof reports whether a health check is needed to tell which process of the target runs.
func (t *Table) AwaitsProof(now time.Time) bool {
	return t.target.known && t.target.isDoubtful() || t.target.contested(now, t.silenceTimeout())
}

// isDoubtful reports whether another process than the current one may run. It does not matter of the first one that is heard of when
// that leaves.
func (t *target) isDoubtful() bool { return t.unverified && !(t.leaves() && len(t.retired) == 0) }

// checked applies an answer to a health check. A process that has reported since the check was started may have started since
// then: the answer decides nothing about it.
func (t *target) checked(now time.Time, n announcement.HealthCheck, service string) announcementEffect {
	if t.isAmbiguous(n) {
		return outdated
	}
	if t.last.ID == "" || !sameProcess(t.last, n.ID, n.StartedMs) {
		if t.known && t.lastSeen.After(n.Began) {
			return outdated
		}
		t.replace(now, n, service)
		return newIncarnation
	}
	t.known, t.ended = true, false
	t.identify(n)
	if t.last.Sequence < firstSequence {
		t.lastSeen, t.notReady = now, !n.Ready
	}
	return sameIncarnation
}

// isAmbiguous reports whether an answer without a start names several processes that share their name.
func (t *target) isAmbiguous(n announcement.HealthCheck) bool {
	shared := func(c claim) bool { return c.last.ID == n.ID && c.last.StartedMs != 0 }
	return n.StartedMs == 0 && t.last.ID == n.ID && slices.ContainsFunc(t.claims, shared)
}

// replace makes the process that has answered a health check the current one, with its newest report if there is one.
func (t *target) replace(now time.Time, n announcement.HealthCheck, service string) {
	a := announcement.Announcement{ID: n.ID, StartedMs: n.StartedMs, Service: service, Slots: AssumedSlots}
	r, known := t.heardOf(a)
	if !known {
		r = retired{last: a, firstSeen: now}
	}
	if r.last.Sequence < firstSequence {
		r.lastSeen = now
	}
	a = r.last
	t.begin(now, a, true)
	t.record(r.lastSeen, a)
	t.firstSeen = r.firstSeen
	t.notReady = a.Sequence < firstSequence && !n.Ready
	t.identify(n)
}

// identify records that the current process has answered a health check. Those that have only reported before it have ended.
func (t *target) identify(n announcement.HealthCheck) {
	t.identified, t.unverified = true, false
	t.excludeClaims(n.Began)
}
