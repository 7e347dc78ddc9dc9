package ownership

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// retired is a process that is not the current one any more, or never was.
type retired struct {
	// last is its newest report, lastSeen when that arrived, firstSeen when the process was first seen.
	last                announcement.Announcement
	firstSeen, lastSeen time.Time
	// deregistered is set when it has deregistered, excluded when a health check has shown that it had ended.
	deregistered, excluded bool
}

func (t *target) retire(r retired) {
	t.retired = append(t.retired, r)
	if len(t.retired) > maxRetired {
		t.retired = t.retired[1:]
	}
}

// unretire forgets that a process is not the current one.
func (t *target) unretire(a announcement.Announcement) {
	t.retired = slices.DeleteFunc(t.retired, func(r retired) bool { return r.isOf(a) })
}

// hasEnded reports whether a report is of a retired process that has ended, or has reported more already. One that a health check has
// excluded may be heard again once the current one is silent.
func (t *target) hasEnded(now time.Time, a announcement.Announcement, silenceTimeout time.Duration) bool {
	silent := now.Sub(t.lastSeen) > silenceTimeout
	return slices.ContainsFunc(t.retired, func(r retired) bool {
		return r.isOf(a) && (r.deregistered || r.excluded && !silent || a.Sequence <= r.last.Sequence)
	})
}

// hasDeregistered reports whether a retired process has deregistered.
func (t *target) hasDeregistered(a announcement.Announcement) bool {
	return slices.ContainsFunc(t.retired, func(r retired) bool { return r.isOf(a) && r.deregistered })
}

// heardOf returns what was heard of a process that is not the current one, and whether anything was but its deregistration.
func (t *target) heardOf(a announcement.Announcement) (retired, bool) {
	if c := t.claimOf(a); c != nil {
		return retired{last: c.last, firstSeen: c.since, lastSeen: c.lastSeen}, true
	}
	for _, r := range slices.Backward(t.retired) {
		if r.isOf(a) && !r.firstSeen.IsZero() {
			return r, true
		}
	}
	return retired{}, false
}

func (r retired) isOf(a announcement.Announcement) bool {
	return r.last.ID == a.ID && r.last.StartedMs == a.StartedMs
}
