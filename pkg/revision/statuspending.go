package revision

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// storedStatus is a status object as last read or written.
type storedStatus struct {
	object objectapi.Object
	status resource.ServiceStatus
	// claimed is set when this term wrote the object, so that no write of an earlier term takes effect.
	claimed bool
	written time.Time
}

// pendingStatus is a status that may need a write.
type pendingStatus struct {
	// recorded is set when the stored status has the evaluation, so that only the in-force count may differ.
	recorded bool
	check    time.Time
}

// statusWrite is a status write that is due.
type statusWrite struct {
	name    string
	desired resource.ServiceStatus
	// rank orders the writes: evaluations first, then counts, then claims.
	rank int
}

// due returns the writes that are due, ordered by rank and name.
func (w *statusWriter) due(now time.Time) []statusWrite {
	var list []statusWrite
	acks := newCachedAcks(w.cfg.Acks)
	for name, o := range w.pending {
		if now.Before(o.check) {
			continue
		}
		d, ok := w.check(name, o, acks, now)
		if ok {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b statusWrite) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return list
}

// check returns the write of one status, and false when none is due. A status that is up to date and needs no more
// counts is removed from pending.
func (w *statusWriter) check(name string, o pendingStatus, acks Acks, now time.Time) (statusWrite, bool) {
	j, ok := w.wanted[name]
	if !ok {
		delete(w.pending, name)
		return statusWrite{}, false
	}
	s := w.stored[name]
	again := pendingStatus{recorded: true, check: now.Add(w.cfg.StatusInterval / countChecks)}
	if o.recorded && count(j.acceptedRevision(s.status), s.status, acks) == s.status.InForce {
		w.pending[name] = again
		return statusWrite{}, false
	}
	next := j.describe(s.status, acks, now)
	next.Term = w.grant.Term
	rank, due := w.rank(s, next, now)
	if due {
		return statusWrite{name: name, desired: next, rank: rank}, true
	}
	w.pending[name] = again
	if next.AcceptedRevision == 0 || next.InForce.Complete() {
		delete(w.pending, name)
	}
	return statusWrite{}, false
}

// countChecks is the number of times an incomplete count is checked within one status interval.
const countChecks = 4

const (
	rankEvaluation = iota
	rankCount
	rankClaim
)

func (w *statusWriter) rank(s storedStatus, next resource.ServiceStatus, now time.Time) (int, bool) {
	if !sameEvaluation(s.status, next) {
		return rankEvaluation, true
	}
	if next.InForce.Complete() && !s.status.InForce.Complete() {
		return rankCount, true
	}
	if next.InForce != s.status.InForce && now.Sub(s.written) >= w.cfg.StatusInterval {
		return rankCount, true
	}
	return rankClaim, !s.claimed
}

// sameEvaluation compares two statuses apart from the in-force count, the term and the times.
func sameEvaluation(a, b resource.ServiceStatus) bool {
	x, errX := json.Marshal(withoutCount(a))
	y, errY := json.Marshal(withoutCount(b))
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func withoutCount(s resource.ServiceStatus) resource.ServiceStatus {
	s.InForce = resource.InForce{}
	s.Term = 0
	s.Conditions = slices.DeleteFunc(slices.Clone(s.Conditions), func(c resource.Condition) bool {
		return c.Type == resource.ConditionInForce
	})
	for i := range s.Conditions {
		s.Conditions[i].Time = time.Time{}
	}
	return s
}
