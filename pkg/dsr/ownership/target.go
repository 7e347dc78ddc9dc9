package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// firstSequence is the number of an incarnation's first announcement. The answer to a health check has none.
const firstSequence = 1

// repeatedPart is the part of the silence timeout between two reports of the only process heard of after which it is taken for the
// running one without a health check: less than the time between two reports.
const repeatedPart = 4

// target is the agent's view of its target.
type target struct {
	// known is set while an incarnation is assumed to be running; last is its last announcement, or the
	// last one of the ended incarnation.
	known    bool
	last     announcement.Announcement
	lastSeen time.Time
	// firstSeen is when the current incarnation was first seen.
	firstSeen time.Time
	// sawFirstAnnouncement is set when the incarnation's first announcement came to this agent.
	sawFirstAnnouncement bool
	// seenFromStart is set when this agent ran when the incarnation started, and so has seen all of its flows.
	seenFromStart bool
	// warmAt is when the target is warm according to its announcements, valid once warmAtKnown is set; the answer to
	// a health check does not say.
	warmAt      time.Time
	warmAtKnown bool
	// coldFrom is the latest time at which the warm-up can have begun, used until the target reports it.
	coldFrom time.Time
	// left is set once the current process has deregistered. It takes no new flows, and may run on: the answer to its call may
	// be lost, or the call may be applied late.
	left bool
	// ended is set while no process runs: none listens at the target's address. What is heard of the process afterwards takes
	// it back.
	ended bool
	// refusedAt is when a refused connection showed that, zero once the next process has announced itself.
	refusedAt time.Time
	// retired are earlier incarnations, the latest last.
	retired []retired
	// unverified is set while nothing but one report, which may be late, says that the current process runs. Withheld is set when
	// it gets no new flows until then: no process was ready before it. DoubtedAt is when that began.
	unverified, withheld bool
	doubtedAt            time.Time
	// identified is set once the current process has answered a health check.
	identified bool
	// notReady is set while the current process has answered a health check as not ready and has not reported.
	notReady bool
	// claims are processes that may have replaced the current one.
	claims []claim
}

// receive applies an announcement. A rejected one returns an *announcement.Rejection and changes nothing.
func (t *target) receive(now time.Time, a announcement.Announcement, silenceTimeout time.Duration) (announcementEffect, error) {
	n, err := t.classify(now, a, silenceTimeout)
	if err != nil || n == outdated {
		return outdated, err
	}
	switch {
	case n == newIncarnation:
		t.begin(now, a, false)
	case now.Sub(t.lastSeen) > silenceTimeout:
		// Another process may have taken its place meanwhile, and the report be a late one.
		t.doubt(now, true)
	case now.Sub(t.doubtedAt) >= silenceTimeout/repeatedPart:
		t.unverified = false
	}
	t.record(now, a)
	return n, nil
}

// doubt begins to doubt that the current process runs. It may withhold new flows until that is known.
func (t *target) doubt(now time.Time, withhold bool) {
	t.withheld = withhold || t.unverified && t.withheld
	t.unverified, t.doubtedAt = true, now
}

// record takes over what the current process has reported at a time.
func (t *target) record(at time.Time, a announcement.Announcement) {
	t.known, t.last, t.lastSeen, t.ended, t.notReady = true, a, at, false, false
	if a.Sequence >= firstSequence {
		t.warmAt, t.warmAtKnown = at.Add(a.WarmUp), true
	}
}

// begin records that another incarnation has replaced the last one, whose end a health check may have proven.
func (t *target) begin(now time.Time, a announcement.Announcement, endProven bool) {
	if t.known || t.left {
		t.retire(retired{last: t.last, firstSeen: t.firstSeen, lastSeen: t.lastSeen, deregistered: t.left, excluded: endProven})
	}
	t.removeClaim(a)
	withhold := t.leaves() || !t.mayBeReady()
	t.unverified, t.identified = false, false
	t.doubt(now, withhold)
	t.firstSeen, t.left = now, t.hasDeregistered(a)
	t.unretire(a)
	t.assumeCold(now)
	t.sawFirstAnnouncement = a.Sequence == firstSequence
}

// assumeCold discards what the target has reported of its warm-up, since it may have become cold again.
func (t *target) assumeCold(now time.Time) { t.coldFrom, t.warmAtKnown = now, false }

// mayBeReady reports whether a process is known that is ready if it does not leave.
func (t *target) mayBeReady() bool { return t.known && !t.notReady && !(t.unverified && t.withheld) }

// leaves reports whether the current process has said that it drains or ends.
func (t *target) leaves() bool { return t.left || t.last.State == announcement.Draining }

// state returns the target's state as announced to the balancers. While two processes claim to be the running one, it is leaving
// if either says so.
func (t *target) state(now time.Time, silenceTimeout time.Duration) dsrpb.State {
	silent := now.Sub(t.lastSeen) > silenceTimeout
	switch {
	case !t.known:
		return dsrpb.State_STATE_ABSENT
	case t.leaves(), t.hasClaim(now, silenceTimeout, announcement.Draining):
		return dsrpb.State_STATE_LEAVING
	case !t.mayBeReady(), silent && !t.hasClaim(now, silenceTimeout, announcement.Ready):
		return dsrpb.State_STATE_ABSENT
	}
	return dsrpb.State_STATE_READY
}
