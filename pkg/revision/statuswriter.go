package revision

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// statusWriter brings the stored statuses to what was judged, within a rate of writes.
type statusWriter struct {
	cfg     Compiler
	grant   lease.Grant
	limiter *rate.Limiter
	// stored are the statuses as read or written last; nil asks for a list.
	stored map[string]storedStatus
	wanted map[string]judgement
}

// storedStatus is one status object.
type storedStatus struct {
	object objectapi.Object
	status resource.ServiceStatus
	// claimed says that this term wrote the object, so that no write of an earlier term takes effect.
	claimed bool
	written time.Time
}

// statusWrite is one write that is due.
type statusWrite struct {
	name  string
	after resource.ServiceStatus
	// rank orders the writes: judgements first, then counts, then claims.
	rank int
}

func newStatusWriter(cfg Compiler, g lease.Grant) *statusWriter {
	return &statusWriter{cfg: cfg, grant: g, limiter: rate.NewLimiter(rate.Limit(cfg.StatusRate), cfg.StatusRate)}
}

// set replaces what was judged.
func (w *statusWriter) set(c Compiled, states map[string]resource.RolloutStatus) {
	w.wanted = make(map[string]judgement, len(c.Results))
	for _, r := range c.Results {
		j := judgement{result: r, current: c.Revision.Number}
		if s, ok := states[r.Name]; ok {
			j.rollout = &s
		}
		w.wanted[r.Name] = j
	}
}

// write carries out the writes that are due, as far as the rate allows.
func (w *statusWriter) write(ctx context.Context) error {
	if err := w.load(ctx); err != nil {
		return err
	}
	now := w.cfg.Clock.Now()
	for _, d := range w.due(now) {
		if !w.limiter.AllowN(now, 1) {
			return nil
		}
		if err := w.put(ctx, d, now); err != nil {
			return err
		}
	}
	return w.deleteGone(ctx, now)
}

func (w *statusWriter) load(ctx context.Context) error {
	if w.stored != nil {
		return nil
	}
	list, _, err := w.cfg.Store.List(ctx, resource.KindServiceStatus)
	if err != nil {
		return trace.Wrap(err, "list statuses")
	}
	w.stored = make(map[string]storedStatus, len(list))
	for _, o := range list {
		s := storedStatus{object: o}
		// A status that cannot be read is written anew.
		_ = json.Unmarshal(o.Value, &s.status)
		s.claimed = s.status.Term == w.grant.Term
		w.stored[o.Name] = s
	}
	return nil
}

// due returns the writes that are due in the order of their rank.
func (w *statusWriter) due(now time.Time) []statusWrite {
	var list []statusWrite
	for name, j := range w.wanted {
		s := w.stored[name]
		next := j.describe(s.status, w.cfg.Acks, now)
		next.Term = w.grant.Term
		rank, ok := w.rank(s, next, now)
		if ok {
			list = append(list, statusWrite{name: name, after: next, rank: rank})
		}
	}
	slices.SortFunc(list, func(a, b statusWrite) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return list
}

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

// put writes one status on condition of the version read under this term.
func (w *statusWriter) put(ctx context.Context, d statusWrite, now time.Time) error {
	b, err := json.Marshal(d.after)
	if err != nil {
		return trace.Wrap(err, "encode status of %s", d.name)
	}
	o := objectapi.Object{Kind: resource.KindServiceStatus, Name: d.name, Version: w.stored[d.name].object.Version, Value: b}
	o, err = lease.Put(ctx, w.cfg.Store, o)
	if errors.Is(err, objectapi.ErrConflict) {
		return trace.NewAggregate(err, w.reload(ctx))
	}
	if err != nil {
		return trace.Wrap(err, "write status of %s", d.name)
	}
	w.stored[d.name] = storedStatus{object: o, status: d.after, claimed: true, written: now}
	w.log(d)
	return nil
}

// reload reads the statuses again after a conflict, and reports a later term.
func (w *statusWriter) reload(ctx context.Context) error {
	w.stored = nil
	if err := w.load(ctx); err != nil {
		return err
	}
	for name, s := range w.stored {
		if s.status.Term > w.grant.Term {
			return trace.Wrap(lease.ErrFenced, "status of %s holds term %d", name, s.status.Term)
		}
	}
	return nil
}

// deleteGone deletes the statuses of services that no longer exist.
func (w *statusWriter) deleteGone(ctx context.Context, now time.Time) error {
	if w.wanted == nil {
		return nil
	}
	for name, s := range w.stored {
		if _, ok := w.wanted[name]; ok || !w.limiter.AllowN(now, 1) {
			continue
		}
		err := w.cfg.Store.Delete(ctx, resource.KindServiceStatus, name, s.object.Version)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			w.stored = nil
			return trace.Wrap(err, "delete status of %s", name)
		}
		delete(w.stored, name)
	}
	return nil
}

func (w *statusWriter) log(d statusWrite) {
	if d.rank != rankJudgement {
		return
	}
	c, _ := d.after.Condition(resource.ConditionAccepted)
	w.cfg.Log.Info().Str("op", "judge").Str("service", d.name).Uint64("version", d.after.ObservedVersion).
		Uint64("revision", d.after.AcceptedRevision).Str("reason", string(c.Reason)).Str("message", c.Message).Send()
}
