package ownership

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// Limits of the claims of a target.
const (
	// maxClaims is the number of claims that are kept; the one that was heard of least recently makes room.
	maxClaims = 4
	// uncheckedReports is the number of reports, and uncheckedPart the part of the silence timeout between the first and the last
	// of them, after which a process replaces a silent one without a health check: for targets that answer none.
	uncheckedReports = 3
	uncheckedPart    = 2
)

// claim is a process that has reported while another one is current. Its reports may be late ones of an earlier process; a health
// check decides.
type claim struct {
	// last is its newest report, lastSeen when that arrived.
	last     announcement.Announcement
	lastSeen time.Time
	// since is when its first report arrived after which the current process has not reported, reports how many have arrived
	// since then.
	since   time.Time
	reports int
	// earlier is set when the process says that it has started before the current one: it has ended, unless a clock was set back.
	// What it says counts while the current one is in doubt too.
	earlier bool
}

// recordClaim records a report of a process that is not the current one, and reports whether the process replaces the current one
// without a health check: that one is silent, and the other has reported for long enough.
func (t *target) recordClaim(now time.Time, a announcement.Announcement, silenceTimeout time.Duration) bool {
	c := t.claimOf(a)
	if c == nil {
		c = t.addClaim(a)
	} else if a.Sequence <= c.last.Sequence {
		return false
	}
	if c.reports == 0 || t.lastSeen.After(c.since) {
		c.since, c.reports = now, 0
	}
	c.last, c.lastSeen = a, now
	c.earlier = a.StartedMs != 0 && a.StartedMs < t.last.StartedMs
	c.reports++
	silent := now.Sub(t.lastSeen) > silenceTimeout
	return silent && c.reports >= uncheckedReports && now.Sub(c.since) >= silenceTimeout/uncheckedPart
}

// claimOf returns the claim of the process that has sent a report, or nil.
func (t *target) claimOf(a announcement.Announcement) *claim {
	for i := range t.claims {
		if sameProcess(t.claims[i].last, a.ID, a.StartedMs) {
			return &t.claims[i]
		}
	}
	return nil
}

func (t *target) addClaim(a announcement.Announcement) *claim {
	if len(t.claims) >= maxClaims {
		oldest := slices.MinFunc(t.claims, func(a, b claim) int { return a.lastSeen.Compare(b.lastSeen) })
		t.removeClaim(oldest.last)
	}
	t.claims = append(t.claims, claim{last: a})
	return &t.claims[len(t.claims)-1]
}

func (t *target) removeClaim(a announcement.Announcement) {
	t.claims = slices.DeleteFunc(t.claims, func(c claim) bool { return sameProcess(c.last, a.ID, a.StartedMs) })
}

// excludeClaims ends the claims that were last heard of before a health check that another process has answered: they are of
// processes that have ended.
func (t *target) excludeClaims(began time.Time) {
	t.claims = slices.DeleteFunc(t.claims, func(c claim) bool {
		if c.lastSeen.After(began) {
			return false
		}
		t.retire(retired{last: c.last, firstSeen: c.since, lastSeen: c.lastSeen, excluded: true})
		return true
	})
}

// hasClaim reports whether a process that may be the running one has lately reported a state.
func (t *target) hasClaim(now time.Time, silenceTimeout time.Duration, s announcement.State) bool {
	return slices.ContainsFunc(t.claims, func(c claim) bool {
		return c.last.State == s && (!c.earlier || t.unverified) && now.Sub(c.lastSeen) <= silenceTimeout
	})
}

// contested reports whether a process that may have replaced the current one has lately reported.
func (t *target) contested(now time.Time, silenceTimeout time.Duration) bool {
	return slices.ContainsFunc(t.claims, func(c claim) bool { return now.Sub(c.lastSeen) <= silenceTimeout })
}

// sameProcess reports whether a report is of the process with the given name and start. A start of 0 is not known.
func sameProcess(a announcement.Announcement, id string, startedMs uint64) bool {
	return a.ID == id && (a.StartedMs == startedMs || a.StartedMs == 0 || startedMs == 0)
}
