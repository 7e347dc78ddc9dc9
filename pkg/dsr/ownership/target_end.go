package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// deregister records that an incarnation has announced its end. A deregistration of an earlier incarnation is rejected.
func (t *target) deregister(now time.Time, f announcement.Deregistration) error {
	if err := t.checkDeregistration(f); err != nil {
		return err
	}
	if f.StartedMs > t.last.StartedMs && (t.last.StartedMs != 0 || t.last.ID == "") {
		// This incarnation has sent no announcement to this agent; later reports of earlier ones are outdated.
		if t.known {
			t.retire(retired{last: t.last, firstSeen: t.firstSeen, lastSeen: t.lastSeen})
		}
		t.known, t.left, t.last = false, true, announcement.Announcement{ID: f.ID, StartedMs: f.StartedMs}
		return nil
	}
	if !t.known || t.last.ID != f.ID {
		// This agent does not know the incarnation: its announcements may still arrive.
		if t.known {
			t.doubt(now, false)
		}
		named := announcement.Announcement{ID: f.ID, StartedMs: f.StartedMs}
		t.retire(retired{last: named, deregistered: true})
		t.removeClaim(named)
		return nil
	}
	t.left = true
	return nil
}

// notRunning records that no process listens at the target's address, and reports whether that was not known. A process
// that reports and has not deregistered may only be slow to listen.
func (t *target) notRunning(now time.Time) bool {
	if t.ended || t.known && !t.left {
		return false
	}
	t.known, t.ended, t.refusedAt = false, true, now
	return true
}

// heard records a packet of the target: a process runs, the one that has deregistered if there is one.
func (t *target) heard() {
	if t.ended {
		t.ended, t.known = false, t.left
	}
}

// awaitsEnd reports whether a process has deregistered that may still run.
func (t *target) awaitsEnd() bool { return t.left && !t.ended }

// checkDeregistration rejects a deregistration that is not of the current incarnation or a later one. When the
// announcements report the target's start and the deregistration does not, the last announcement must have the same ID
// and say that the target drains.
func (t *target) checkDeregistration(f announcement.Deregistration) error {
	switch {
	case !t.known || t.last.StartedMs == 0:
		return nil
	case f.StartedMs == 0 && t.last.ID == f.ID && t.last.State == announcement.Draining:
		return nil
	case f.StartedMs == 0, f.StartedMs == t.last.StartedMs && t.last.ID != f.ID:
		return &announcement.Rejection{Reason: announcement.UnknownIncarnation}
	case f.StartedMs >= t.last.StartedMs:
		return nil
	}
	return &announcement.Rejection{Reason: announcement.EarlierIncarnation}
}
