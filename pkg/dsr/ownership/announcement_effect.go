package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// announcementEffect is what an announcement changes.
type announcementEffect uint8

const (
	// outdated: a repeated or reordered announcement.
	outdated announcementEffect = iota
	// sameIncarnation: the process is still running.
	sameIncarnation
	// newIncarnation: another process has replaced the last one, or this is the first known process.
	newIncarnation
)

// classify determines what an announcement means. Incarnations are ordered by their start time, whatever the target's name, and
// announcements within one by their sequence. A target that never reports its start never reuses a name either: then another name is
// another incarnation, and a health check tells which one runs.
func (t *target) classify(now time.Time, a announcement.Announcement, silenceTimeout time.Duration) (announcementEffect, error) {
	switch {
	case t.last.ID == "":
		return newIncarnation, nil
	case a.StartedMs != 0 && t.last.StartedMs != 0:
		return t.classifyByStart(now, a, silenceTimeout)
	case t.last.StartedMs != 0:
		return outdated, &announcement.Rejection{Reason: announcement.UnknownIncarnation}
	case a.StartedMs != 0 && a.ID == t.last.ID && t.known:
		// A health check has identified the process before its first announcement.
		return sameIncarnation, nil
	case a.StartedMs != 0:
		return newIncarnation, nil
	}
	return t.classifyByName(now, a, silenceTimeout)
}

// classifyByStart orders two incarnations that both report their start. One with an earlier start may have replaced the other after
// a clock was set back: a health check decides.
func (t *target) classifyByStart(now time.Time, a announcement.Announcement, silenceTimeout time.Duration) (announcementEffect, error) {
	earlier := &announcement.Rejection{Reason: announcement.EarlierIncarnation}
	switch {
	case a.StartedMs != t.last.StartedMs && t.hasEnded(now, a, silenceTimeout):
		return outdated, earlier
	case a.StartedMs > t.last.StartedMs, a.StartedMs < t.last.StartedMs && t.recordClaim(now, a, silenceTimeout):
		return newIncarnation, nil
	case a.StartedMs < t.last.StartedMs, !t.known && !t.left:
		return outdated, earlier
	case a.ID != t.last.ID:
		return outdated, &announcement.Rejection{Reason: announcement.UnknownIncarnation}
	}
	return t.classifyBySequence(a), nil
}

// classifyByName orders incarnations that do not report their start. A name that is not the current one has to be confirmed by
// a health check, since its announcements may be delayed. One that a health check has excluded stays rejected while the current one
// reports.
func (t *target) classifyByName(now time.Time, a announcement.Announcement, silenceTimeout time.Duration) (announcementEffect, error) {
	if t.last.ID == a.ID && (t.known || t.left) {
		return t.classifyBySequence(a), nil
	}
	if t.hasEnded(now, a, silenceTimeout) {
		return outdated, &announcement.Rejection{Reason: announcement.EarlierIncarnation}
	}
	if t.ended || !t.known || t.recordClaim(now, a, silenceTimeout) {
		return newIncarnation, nil
	}
	return outdated, &announcement.Rejection{Reason: announcement.UnconfirmedIncarnation}
}

func (t *target) classifyBySequence(a announcement.Announcement) announcementEffect {
	if a.Sequence <= t.last.Sequence {
		return outdated
	}
	return sameIncarnation
}
