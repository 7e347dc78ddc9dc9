package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// firstSequence is the number of a process's first announcement. The answer to a health check has none.
const firstSequence = 1

// news is what an announcement changes.
type news uint8

const (
	// nothing: it is a late copy of one that was heard.
	nothing news = iota
	// sameLife: the process goes on.
	sameLife
	// newLife: another process has taken the place of the last one, or the first is heard of.
	newLife
)

// target is what the agent believes of its target.
type target struct {
	// known is set while a process is believed to live; last is its last announcement, or that of one that has left.
	known bool
	last  announcement.Announcement
	heard time.Time
	// since is when the present life was first heard of.
	since time.Time
	// seenFirst is set when the process announced itself here for the first time, so that all its flows came by here.
	seenFirst bool
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

// hear takes an announcement. The error is a rejection: the announcement then changes nothing.
func (t *target) hear(now time.Time, a announcement.Announcement, silence time.Duration) (news, error) {
	n, err := t.judge(now, a, silence)
	if err != nil || n == nothing {
		return nothing, err
	}
	if n == newLife {
		t.begin(now, a)
	}
	t.known, t.last, t.heard = true, a, now
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
	t.since = now
	t.mayBeCold(now)
	t.seenFirst = a.Sequence == firstSequence
}

// mayBeCold forgets what the process has said of its warm-up, since it may have begun anew.
func (t *target) mayBeCold(now time.Time) { t.coldFrom, t.warmAtKnown = now, false }

// judge says what an announcement means. The start of a process orders lives, whatever the target's name; the sequence orders
// announcements within one. A target that never says when it started never reuses a name either: then a new name is a new
// life.
func (t *target) judge(now time.Time, a announcement.Announcement, silence time.Duration) (news, error) {
	switch {
	case t.last.ID == "":
		return newLife, nil
	case a.Born != 0 && t.last.Born != 0:
		return t.judgeByStart(a)
	case t.last.Born != 0:
		return nothing, &announcement.Rejection{Reason: announcement.UnknownLife}
	case a.Born != 0 && a.ID == t.last.ID && t.known:
		// A health check has named the process before its first announcement came.
		return sameLife, nil
	case a.Born != 0:
		return newLife, nil
	}
	return t.judgeByName(now, a, silence)
}

// judgeByStart orders two lives that both say when they started.
func (t *target) judgeByStart(a announcement.Announcement) (news, error) {
	switch {
	case a.Born > t.last.Born:
		return newLife, nil
	case a.Born < t.last.Born, !t.known:
		return nothing, &announcement.Rejection{Reason: announcement.EarlierLife}
	case a.ID != t.last.ID:
		return nothing, &announcement.Rejection{Reason: announcement.UnknownLife}
	}
	return t.judgeBySequence(a), nil
}

// judgeByName orders lives that do not say when they started. A name that was replaced stays out, since its announcement may
// have been under way for long; it comes back only when its successor has fallen silent and it goes on counting.
func (t *target) judgeByName(now time.Time, a announcement.Announcement, silence time.Duration) (news, error) {
	if t.known && t.last.ID == a.ID {
		return t.judgeBySequence(a), nil
	}
	silent := now.Sub(t.heard) > silence
	for _, r := range t.retired {
		if r.id == a.ID && (r.left || !silent || a.Sequence <= r.sequence) {
			return nothing, &announcement.Rejection{Reason: announcement.EarlierLife}
		}
	}
	return newLife, nil
}

func (t *target) judgeBySequence(a announcement.Announcement) news {
	if a.Sequence <= t.last.Sequence {
		return nothing
	}
	return sameLife
}

// leave takes a process's word that it ends. The error is a rejection: the word is that of an earlier life then.
func (t *target) leave(f announcement.Farewell) error {
	if err := t.judgeFarewell(f); err != nil {
		return err
	}
	if f.Born > t.last.Born && (t.last.Born != 0 || t.last.ID == "") {
		// A process that has started and ended unheard: what comes of earlier ones is late.
		t.known, t.last = false, announcement.Announcement{ID: f.ID, Born: f.Born}
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

// judgeFarewell turns down the word of a life that is not the present one. One that does not say when its process started is
// taken from a target that says so only when it has told before that it drains.
func (t *target) judgeFarewell(f announcement.Farewell) error {
	switch {
	case !t.known || t.last.Born == 0:
		return nil
	case f.Born == 0 && t.last.ID == f.ID && t.last.State == announcement.Draining:
		return nil
	case f.Born == 0, f.Born == t.last.Born && t.last.ID != f.ID:
		return &announcement.Rejection{Reason: announcement.UnknownLife}
	case f.Born >= t.last.Born:
		return nil
	}
	return &announcement.Rejection{Reason: announcement.EarlierLife}
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
	case now.Sub(t.heard) > silence:
		return dsrpb.State_STATE_ABSENT
	}
	return dsrpb.State_STATE_READY
}
