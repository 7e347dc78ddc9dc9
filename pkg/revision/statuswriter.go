package revision

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// statusWriter updates the stored statuses from the results of compilations, within a rate of writes.
type statusWriter struct {
	cfg     Compiler
	grant   lease.Grant
	limiter *rate.Limiter
	writes  tally.Counter
	// stored are the statuses as last read or written; nil means that they have to be listed.
	stored map[string]storedStatus
	wanted map[string]evaluation
	// pending are the statuses that may need a write, by service.
	pending map[string]pendingStatus
	// yield reports whether a change is waiting to be compiled; nil means never.
	yield func() bool
	// loadedAt is when stored was last listed.
	loadedAt time.Time
}

// statusReload is the time between two lists of the statuses. They find statuses that a former holder wrote late for a
// service that no longer exists, which this term has not claimed.
const statusReload = time.Minute

// minStatusesBeforeYield is the number of statuses that are written before a waiting change is compiled. Store calls are
// rate limited: writing all statuses first would delay acceptance by seconds, and writing none would leave operators
// without statuses while changes continue.
const minStatusesBeforeYield = 5

func newStatusWriter(cfg Compiler, g lease.Grant, writes tally.Counter) *statusWriter {
	l := rate.NewLimiter(rate.Limit(cfg.StatusRate), cfg.StatusRate)
	return &statusWriter{cfg: cfg, grant: g, limiter: l, writes: writes, pending: make(map[string]pendingStatus)}
}

// setResults replaces the evaluations, and marks the statuses of services whose evaluation changed as pending.
func (w *statusWriter) setResults(c Compiled, states map[string]resource.RolloutStatus) {
	before := w.wanted
	w.wanted = make(map[string]evaluation, len(c.Results))
	for _, r := range c.Results {
		j := evaluation{result: r, current: c.Revision.Number}
		if s, ok := states[r.Name]; ok {
			j.rollout = &s
		}
		old, known := before[r.Name]
		if known && j.matches(&old) {
			w.wanted[r.Name] = old
			continue
		}
		w.wanted[r.Name] = j
		w.pending[r.Name] = pendingStatus{}
	}
}

// write writes the statuses that are due, as far as the rate allows. While a change is waiting it stops after
// minStatusesBeforeYield.
func (w *statusWriter) write(ctx context.Context) error {
	if err := w.load(ctx); err != nil {
		return err
	}
	now := w.cfg.Clock.Now()
	for i, d := range w.due(now) {
		if i >= minStatusesBeforeYield && w.yield != nil && w.yield() {
			return nil
		}
		if !w.limiter.AllowN(now, 1) {
			return nil
		}
		if err := w.put(ctx, d, now); err != nil {
			return err
		}
	}
	return w.deleteStale(ctx, now)
}

func (w *statusWriter) load(ctx context.Context) error {
	now := w.cfg.Clock.Now()
	if w.stored != nil && now.Sub(w.loadedAt) < statusReload {
		return nil
	}
	list, _, err := w.cfg.Store.List(ctx, resource.KindServiceStatus)
	if err != nil {
		return trace.Wrap(err, "list statuses")
	}
	w.loadedAt = now
	for name := range w.wanted {
		w.pending[name] = pendingStatus{}
	}
	w.stored = make(map[string]storedStatus, len(list))
	for _, o := range list {
		s := storedStatus{object: o}
		// A status that cannot be decoded is rewritten.
		_ = json.Unmarshal(o.Value, &s.status)
		s.claimed = s.status.Term == w.grant.Term
		w.stored[o.Name] = s
	}
	return nil
}

// put writes one status on condition of the last version read or written.
func (w *statusWriter) put(ctx context.Context, d statusWrite, now time.Time) error {
	b, err := json.Marshal(d.desired)
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
	w.stored[d.name] = storedStatus{object: o, status: d.desired, claimed: true, written: now}
	w.writes.Inc(1)
	w.log(d)
	return nil
}

// reload lists the statuses again after a conflict. It returns lease.ErrFenced when one holds a later term.
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

// deleteStale deletes the statuses of services that no longer exist, as far as the rate allows.
func (w *statusWriter) deleteStale(ctx context.Context, now time.Time) error {
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
	if d.rank != rankEvaluation {
		return
	}
	c, _ := d.desired.Condition(resource.ConditionAccepted)
	w.cfg.Log.Info().Str("op", "judge").Str("service", d.name).Uint64("version", d.desired.ObservedVersion).
		Uint64("revision", d.desired.AcceptedRevision).Str("reason", string(c.Reason)).Str("message", c.Message).Send()
}
