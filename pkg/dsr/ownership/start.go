package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// startMargin is the longest time for which a target's announcement is assumed to wait in the agent's socket.
const startMargin = time.Second

// sawStart reports whether an announcement proves that the agent ran when the target's process started, or that no
// earlier agent did. The first announcement alone proves neither: an earlier agent may have given the target flows before
// it and ended, and the announcement may be a late one of an ended process.
func (t *Table) sawStart(now time.Time, a announcement.Announcement) bool {
	before := t.target.firstSeen.Sub(t.started)
	if a.Sequence == firstSequence && t.target.identified && before > t.cfg.HeartbeatInterval+startMargin {
		return true
	}
	return t.startedAfterAgent(a) && t.isYoung(now.Sub(t.started), a)
}

// startedAfterAgent reports whether the target's reported start is not before the end of any earlier agent.
func (t *Table) startedAfterAgent(a announcement.Announcement) bool {
	if a.StartedMs == 0 {
		return false
	}
	return !time.UnixMilli(int64(a.StartedMs)).Before(t.started.Add(-minRestartDelay))
}

// isYoung reports whether the target has sent no more announcements than fit into the time for which the agent ran. The
// wall clock may have been set back between the two starts, which the count shows.
func (t *Table) isYoung(ran time.Duration, a announcement.Announcement) bool {
	if t.cfg.HeartbeatInterval <= 0 {
		return false
	}
	return a.Sequence <= firstSequence+1+uint64((ran+minRestartDelay)/t.cfg.HeartbeatInterval)
}

// checkRefusal compares the first announcement of a process with the time of an earlier refused connection. One that has sent
// more announcements than fit into the time since then ran when the connection was refused, so that the agent has not seen its
// start.
func (t *Table) checkRefusal(now time.Time, a announcement.Announcement) {
	at := t.target.refusedAt
	if at.IsZero() || a.Sequence < firstSequence {
		return
	}
	t.target.refusedAt = time.Time{}
	if t.cfg.HeartbeatInterval > 0 && !t.isYoung(now.Sub(at), a) {
		t.target.seenFromStart = false
	}
}
