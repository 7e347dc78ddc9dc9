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

// storedStatus is one status object.
type storedStatus struct {
	object objectapi.Object
	status resource.ServiceStatus
	// claimed says that this term wrote the object, so that no write of an earlier term takes effect.
	claimed bool
	written time.Time
}

// openStatus is when and how to look at a status again.
type openStatus struct {
	// judged says that the stored status tells the judgement, so that only the count in force may differ.
	judged bool
	look   time.Time
}

// statusWrite is one write that is due.
type statusWrite struct {
	name  string
	after resource.ServiceStatus
	// rank orders the writes: judgements first, then counts, then claims.
	rank int
}

// due returns the writes that are due in the order of their rank.
func (w *statusWriter) due(now time.Time) []statusWrite {
	var list []statusWrite
	acks := newCachedAcks(w.cfg.Acks)
	for name, o := range w.open {
		if now.Before(o.look) {
			continue
		}
		d, ok := w.look(name, o, acks, now)
		if ok {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b statusWrite) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return list
}

// look returns the write of one status, and false when none is due. A status that tells all is closed.
func (w *statusWriter) look(name string, o openStatus, acks Acks, now time.Time) (statusWrite, bool) {
	j, ok := w.wanted[name]
	if !ok {
		delete(w.open, name)
		return statusWrite{}, false
	}
	s := w.stored[name]
	again := openStatus{judged: true, look: now.Add(w.cfg.StatusInterval / countLooks)}
	if o.judged && count(j.acceptedRevision(s.status), s.status, acks) == s.status.InForce {
		w.open[name] = again
		return statusWrite{}, false
	}
	next := j.describe(s.status, acks, now)
	next.Term = w.grant.Term
	rank, due := w.rank(s, next, now)
	if due {
		return statusWrite{name: name, after: next, rank: rank}, true
	}
	w.open[name] = again
	if next.AcceptedRevision == 0 || next.InForce.Complete() {
		delete(w.open, name)
	}
	return statusWrite{}, false
}

// countLooks is the number of looks at an unfinished count within one status interval.
const countLooks = 4

const (
	rankJudgement = iota
	rankCount
	rankClaim
)

func (w *statusWriter) rank(s storedStatus, next resource.ServiceStatus, now time.Time) (int, bool) {
	if !sameJudgement(s.status, next) {
		return rankJudgement, true
	}
	if next.InForce.Complete() && !s.status.InForce.Complete() {
		return rankCount, true
	}
	if next.InForce != s.status.InForce && now.Sub(s.written) >= w.cfg.StatusInterval {
		return rankCount, true
	}
	return rankClaim, !s.claimed
}

// sameJudgement compares two statuses without the count in force and the times.
func sameJudgement(a, b resource.ServiceStatus) bool {
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
