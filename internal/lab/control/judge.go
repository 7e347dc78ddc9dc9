package control

import (
	"fmt"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// judge checks the records of a run against the guarantees. The caller holds truth.mu while it runs.
type judge struct {
	t         *truth
	changes   []*change
	balancers []*balancer
	outages   []span
	// byChange holds the versions under which a change was stored, last the latest version of each service.
	byChange map[uint32][]uint64
	last     map[string]uint64
	// storedAt holds the time at which a version was stored.
	storedAt map[uint64]time.Time
	// accepted holds the first write of the head whose revision contains a version.
	accepted map[uint64]headWrite
	result   *Result
}

func newJudge(c *cluster, changes []*change, outages []span, r *Result) *judge {
	j := &judge{
		t: c.truth, changes: changes, balancers: c.everyBalancer(), outages: outages, result: r,
		byChange: make(map[uint32][]uint64), last: make(map[string]uint64), accepted: make(map[uint64]headWrite),
		storedAt: make(map[uint64]time.Time),
	}
	for _, s := range j.t.services {
		j.byChange[s.change] = append(j.byChange[s.change], s.version)
		j.last[s.service.Name] = s.version
		j.storedAt[s.version] = s.at
	}
	for _, h := range j.t.heads {
		for _, s := range h.revision.Services {
			if _, known := j.accepted[s.Version]; !known {
				j.accepted[s.Version] = h
			}
		}
	}
	return j
}

func (j *judge) addViolation(format string, args ...any) {
	j.result.Broken = append(j.result.Broken, fmt.Sprintf(format, args...))
}

func (j *judge) run() {
	j.result.Changes = len(j.changes)
	for _, x := range j.changes {
		j.checkAnswers(x)
		j.countOutcome(x)
	}
	j.heads()
	j.adoptions()
	j.statuses()
	j.result.Broken = append(j.result.Broken, j.t.late...)
	var lists [][]adoption
	for _, b := range j.balancers {
		lists = append(lists, b.history())
		j.result.Operations += len(lists[len(lists)-1])
	}
	j.result.Operations += len(j.t.heads)
	if bad := checkHistory(j.t.heads, lists); bad != "" {
		j.addViolation("history: %s", bad)
	}
}

// checkAnswers checks that the result of each call matches whether the change was stored.
func (j *judge) checkAnswers(x *change) {
	known := true
	for _, o := range x.calls {
		switch a := o.result.Action; {
		case o.err == nil && !o.stored:
			j.addViolation("change %d of %s: reported as %q, but it isn't stored", x.number, x.service.Name, a)
		case known && o.stored && (a == ctl.ActionConflict || a == ctl.ActionFailed):
			j.addViolation("change %d of %s: reported as %q (%s), but it is stored", x.number, x.service.Name, a, o.result.Detail)
		}
		known = known && !o.stored && o.result.Action != ctl.ActionUnknown
	}
}

// countOutcome classifies a change as accepted, rejected, superseded or not stored.
func (j *judge) countOutcome(x *change) {
	versions := j.byChange[x.number]
	if len(versions) == 0 {
		j.notStored(x)
		return
	}
	v := versions[len(versions)-1]
	if h, ok := j.accepted[v]; ok {
		j.result.Accepted++
		j.result.Judged = append(j.result.Judged, h.done.Sub(j.storedAt[v]))
		if x.kind == changeInvalid {
			j.addViolation("change %d of %s is invalid, but revision %d holds it", x.number, x.service.Name, h.head.Revision)
		}
		j.measureInForce(x, v, h)
		return
	}
	if j.rejected(v) {
		j.result.Rejected++
		return
	}
	if j.last[x.service.Name] > v {
		j.result.Superseded++
		return
	}
	j.addViolation("change %d of %s (version %d, %s) was neither accepted nor rejected", x.number, x.service.Name, v, x.kind)
}

func (j *judge) notStored(x *change) {
	n := len(x.calls)
	if n > 0 && x.calls[n-1].result.Action == ctl.ActionConflict {
		j.result.Conflicts++
		return
	}
	j.result.Failed++
}

func (j *judge) rejected(version uint64) bool {
	for _, s := range j.t.statuses {
		c, ok := s.status.Condition(resource.ConditionAccepted)
		if ok && s.status.ObservedVersion == version && c.Status == resource.StatusFalse {
			return true
		}
	}
	return false
}

// measureInForce records the time from acceptance until the last balancer uses the change, and counts the change as lost
// when a live balancer doesn't use it. Balancers without a revision at the acceptance are not timed.
func (j *judge) measureInForce(x *change, version uint64, h headWrite) {
	var last time.Duration
	measured := false
	for _, b := range j.balancers {
		at, ok := b.inForceAt(h.head.Revision)
		switch {
		case ok && !b.readyAt(h.done):
		case ok:
			last, measured = max(last, at.Sub(h.done)), true
		case b.died.IsZero():
			j.result.Lost++
			j.addViolation("change %d of %s (revision %d) isn't in force on %s", x.number, x.service.Name, h.head.Revision, b.name)
			return
		}
	}
	if !measured {
		return
	}
	if j.storeDown(h.done, h.done.Add(last)) {
		j.result.WithoutStore = append(j.result.WithoutStore, last)
		return
	}
	j.result.InForce = append(j.result.InForce, last)
}

func (j *judge) storeDown(from, to time.Time) bool {
	for _, s := range j.outages {
		if s.covers(from, to) {
			return true
		}
	}
	return false
}

// inForceAt returns when the packet path first used the revision or a later one.
func (b *balancer) inForceAt(revision uint64) (time.Time, bool) {
	for _, a := range b.history() {
		if a.number >= revision {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// readyAt reports whether the balancer had adopted a revision by t.
func (b *balancer) readyAt(t time.Time) bool {
	list := b.history()
	return len(list) > 0 && !list[0].at.After(t)
}

// heads checks that the head's revision never decreases, and that no service is removed or reverted to an older version.
func (j *judge) heads() {
	versions := make(map[string]uint64)
	var number uint64
	for _, h := range j.t.heads {
		if h.head.Revision < number {
			j.result.Reverted++
			j.addViolation("the head's revision decreases from %d to %d", number, h.head.Revision)
		}
		if h.head.Revision > number {
			j.result.Revisions++
		}
		number = h.head.Revision
		now := make(map[string]uint64)
		for _, s := range h.revision.Services {
			now[s.Name] = s.Version
		}
		for name, before := range versions {
			j.compareVersion(h, name, before, now[name])
		}
		versions = now
	}
}

func (j *judge) compareVersion(h headWrite, name string, before, now uint64) {
	if now >= before {
		return
	}
	if now == 0 {
		j.result.Lost++
		j.addViolation("revision %d lacks %s, which was accepted as version %d", h.head.Revision, name, before)
		return
	}
	j.result.Reverted++
	j.addViolation("revision %d moves %s back from version %d to %d", h.head.Revision, name, before, now)
}

// adoptions checks that no balancer's revision decreases.
func (j *judge) adoptions() {
	for _, b := range j.balancers {
		var before uint64
		for _, a := range b.history() {
			if a.number < before {
				j.result.Reverted++
				j.addViolation("%s goes back from revision %d to %d", b.name, before, a.number)
			}
			before = a.number
		}
	}
}
