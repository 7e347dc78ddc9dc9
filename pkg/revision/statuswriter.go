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

// statusWriter brings the stored statuses to what was judged, within a rate of writes.
type statusWriter struct {
	cfg     Compiler
	grant   lease.Grant
	limiter *rate.Limiter
	writes  tally.Counter
	// stored are the statuses as read or written last; nil asks for a list.
	stored map[string]storedStatus
	wanted map[string]judgement
	// open are the services whose status may need a write.
	open map[string]openStatus
	// yield reports whether a change waits to be compiled; nil means that none ever does.
	yield func() bool
	// loaded is when stored was listed last.
	loaded time.Time
}

// statusReload is the time after which statuses are listed again: a former holder may have written one that no service
// of this term has, and so was never claimed.
const statusReload = time.Minute

// statusesBetween is the number of statuses that are written before a waiting change is compiled. Calls of the store are
// few, so that acceptance would wait for seconds behind the statuses of many services; without any of them, operators
// would not learn what became of their changes while others come.
const statusesBetween = 5

func newStatusWriter(cfg Compiler, g lease.Grant, writes tally.Counter) *statusWriter {
	l := rate.NewLimiter(rate.Limit(cfg.StatusRate), cfg.StatusRate)
	return &statusWriter{cfg: cfg, grant: g, limiter: l, writes: writes, open: make(map[string]openStatus)}
}

// set replaces what was judged, and opens the statuses of the services whose judgement changed.
func (w *statusWriter) set(c Compiled, states map[string]resource.RolloutStatus) {
	before := w.wanted
	w.wanted = make(map[string]judgement, len(c.Results))
	for _, r := range c.Results {
		j := judgement{result: r, current: c.Revision.Number}
		if s, ok := states[r.Name]; ok {
			j.rollout = &s
		}
		old, known := before[r.Name]
		if known && j.follows(&old) {
			w.wanted[r.Name] = old
			continue
		}
		w.wanted[r.Name] = j
		w.open[r.Name] = openStatus{}
	}
}

// write carries out the writes that are due, as far as the rate allows, and only some of them while a change waits.
func (w *statusWriter) write(ctx context.Context) error {
	if err := w.load(ctx); err != nil {
		return err
	}
	now := w.cfg.Clock.Now()
	for i, d := range w.due(now) {
		if i >= statusesBetween && w.yield != nil && w.yield() {
			return nil
		}
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
	now := w.cfg.Clock.Now()
	if w.stored != nil && now.Sub(w.loaded) < statusReload {
		return nil
	}
	list, _, err := w.cfg.Store.List(ctx, resource.KindServiceStatus)
	if err != nil {
		return trace.Wrap(err, "list statuses")
	}
	w.loaded = now
	for name := range w.wanted {
		w.open[name] = openStatus{}
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
	w.writes.Inc(1)
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
