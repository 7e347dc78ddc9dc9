package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// firstSequence is the number of a process's first announcement. The answer to a health check has none.
const firstSequence = 1

// announcementEffect is what an announcement changes.
type announcementEffect uint8

const (
	// outdated: it is a late copy of one that was heard.
	outdated announcementEffect = iota
	// sameIncarnation: the process goes on.
	sameIncarnation
	// newIncarnation: another process has taken the place of the last one, or the first is heard of.
	newIncarnation
)

// target is what the agent believes of its target.
type target struct {
	// known is set while a process is believed to live; last is its last announcement, or that of one that has left.
	known    bool
	last     announcement.Announcement
	lastSeen time.Time
	// firstSeen is when the present life was first heard of.
	firstSeen time.Time
	// sawFirstAnnouncement is set when the process announced itself here for the first time, so that all its flows came by here.
	sawFirstAnnouncement bool
	// warmAt is when the process is warm as it says, once warmAtKnown is set; the answer to a health check says nothing of it.
	warmAt      time.Time
	warmAtKnown bool
	// coldFrom is when the warm-up may have begun at the latest, as long as the process says nothing of it.
	coldFrom time.Time
	// retired are earlier processes that do not say when they started, the latest last.
	retired []retired
}

// retired is an earlier process.
type retired struct {
	id string
	// sequence is the number of its last announcement; left is set when it has said that it ends.
	sequence uint64
	left     bool
}

// receive takes an announcement. The error is a rejection: the announcement then changes nothing.
func (t *target) receive(now time.Time, a announcement.Announcement, silence time.Duration) (announcementEffect, error) {
	n, err := t.classify(now, a, silence)
	if err != nil || n == outdated {
		return outdated, err
	}
	if n == newIncarnation {
		t.begin(now, a)
	}
	t.known, t.last, t.lastSeen = true, a, now
	if a.Sequence >= firstSequence {
		t.warmAt, t.warmAtKnown = now.Add(a.WarmUp), true
	}
	return n, nil
}

// begin notes that another process has taken the target's place.
func (t *target) begin(now time.Time, a announcement.Announcement) {
	if t.known {
		t.retire(t.last, false)
	}
	t.firstSeen = now
	t.assumeCold(now)
	t.sawFirstAnnouncement = a.Sequence == firstSequence
}

// assumeCold forgets what the process has said of its warm-up, since it may have begun anew.
func (t *target) assumeCold(now time.Time) { t.coldFrom, t.warmAtKnown = now, false }

// classify says what an announcement means. The start of a process orders lives, whatever the target's name; the sequence orders
// announcements within one. A target that never says when it started never reuses a name either: then a new name is a new
// life.
func (t *target) classify(now time.Time, a announcement.Announcement, silence time.Duration) (announcementEffect, error) {
	switch {
	case t.last.ID == "":
		return newIncarnation, nil
	case a.StartedMs != 0 && t.last.StartedMs != 0:
		return t.classifyByStart(a)
	case t.last.StartedMs != 0:
		return outdated, &announcement.Rejection{Reason: announcement.UnknownIncarnation}
	case a.StartedMs != 0 && a.ID == t.last.ID && t.known:
		// A health check has named the process before its first announcement came.
		return sameIncarnation, nil
	case a.StartedMs != 0:
		return newIncarnation, nil
	}
	return t.classifyByName(now, a, silence)
}

// classifyByStart orders two lives that both say when they started.
func (t *target) classifyByStart(a announcement.Announcement) (announcementEffect, error) {
	switch {
	case a.StartedMs > t.last.StartedMs:
		return newIncarnation, nil
	case a.StartedMs < t.last.StartedMs, !t.known:
		return outdated, &announcement.Rejection{Reason: announcement.EarlierIncarnation}
	case a.ID != t.last.ID:
		return outdated, &announcement.Rejection{Reason: announcement.UnknownIncarnation}
	}
	return t.classifyBySequence(a), nil
}

// classifyByName orders lives that do not say when they started. A name that was replaced stays out, since its announcement may
// have been under way for long; it comes back only when its successor has fallen silent and it goes on counting.
func (t *target) classifyByName(now time.Time, a announcement.Announcement, silence time.Duration) (announcementEffect, error) {
	if t.known && t.last.ID == a.ID {
		return t.classifyBySequence(a), nil
	}
	silent := now.Sub(t.lastSeen) > silence
	for _, r := range t.retired {
		if r.id == a.ID && (r.left || !silent || a.Sequence <= r.sequence) {
			return outdated, &announcement.Rejection{Reason: announcement.EarlierIncarnation}
		}
	}
	return newIncarnation, nil
}

func (t *target) classifyBySequence(a announcement.Announcement) announcementEffect {
	if a.Sequence <= t.last.Sequence {
		return outdated
	}
	return sameIncarnation
}

// deregister takes a process's word that it ends. The error is a rejection: the word is that of an earlier life then.
func (t *target) deregister(f announcement.Deregistration) error {
	if err := t.checkDeregistration(f); err != nil {
		return err
	}
	if f.StartedMs > t.last.StartedMs && (t.last.StartedMs != 0 || t.last.ID == "") {
		// A process that has started and ended unheard: what comes of earlier ones is late.
		t.known, t.last = false, announcement.Announcement{ID: f.ID, StartedMs: f.StartedMs}
		return nil
	}
	if !t.known || t.last.ID != f.ID {
		// A process that this agent has not heard of: its announcements may still be under way.
		t.retire(announcement.Announcement{ID: f.ID}, true)
		return nil
	}
	t.retire(t.last, true)
	t.known = false
	return nil
}

// checkDeregistration turns down the word of a life that is not the present one. One that does not say when its process started is
// taken from a target that says so only when it has told before that it drains.
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

func (t *target) retire(a announcement.Announcement, left bool) {
	t.retired = append(t.retired, retired{id: a.ID, sequence: a.Sequence, left: left})
	if len(t.retired) > maxRetired {
		t.retired = t.retired[1:]
	}
}

// state is what the balancers are told of the target.
func (t *target) state(now time.Time, silence time.Duration) dsrpb.State {
	switch {
	case !t.known:
		return dsrpb.State_STATE_ABSENT
	case t.last.State == announcement.Draining:
		return dsrpb.State_STATE_LEAVING
	case now.Sub(t.lastSeen) > silence:
		return dsrpb.State_STATE_ABSENT
	}
	return dsrpb.State_STATE_READY
}
