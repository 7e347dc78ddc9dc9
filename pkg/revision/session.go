package revision

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// session is the compile duty within one term. Except for signal, its fields are used by the goroutine of run only.
type session struct {
	cfg      Compiler
	grant    lease.Grant
	head     *fencedHead
	current  resource.Revision
	statuses *statusWriter
	metrics  metrics
	signal   chan struct{}
	// lastRound is when the last round began, and publishedAt when the head was last advanced.
	lastRound   time.Time
	publishedAt time.Time
	// batchUntil is the end of the current batch of changes; zero when none is being batched.
	batchUntil time.Time
	// eraRecorded is set once the object API's era is recorded.
	eraRecorded bool
	// collected is the number below which revisions have been deleted.
	collected uint64
}

// newSession claims the head, so that no later write to it by an earlier term takes effect.
func newSession(ctx context.Context, cfg Compiler, g lease.Grant) (*session, error) {
	head, err := lease.Claim[stampedHead](ctx, cfg.Store, resource.KindHead, resource.HeadName, g)
	if err != nil {
		return nil, trace.Wrap(err, "claim head")
	}
	s := &session{cfg: cfg, grant: g, head: head, signal: make(chan struct{}, 1), metrics: newMetrics(cfg.Metrics)}
	s.statuses = newStatusWriter(cfg, g, s.metrics.statuses)
	s.statuses.yield = func() bool { return len(s.signal) > 0 || s.isBatchDue() }
	if err := s.load(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *session) load(ctx context.Context) error {
	r, err := Load(ctx, s.cfg.Store, s.head.Value().Head)
	if err != nil {
		return trace.Wrap(err, "load accepted revision")
	}
	s.current = r
	s.resumeFromAdopted()
	return nil
}

// resumeFromAdopted continues from the revision that this process has adopted when it is higher than that of the head,
// as after the object API was restored from an older copy.
func (s *session) resumeFromAdopted() {
	if s.cfg.Adopter == nil {
		return
	}
	if r, known := s.cfg.Adopter.Current(); known && r.Number > s.current.Number {
		s.current = r
	}
}

// lacksEraRevision reports whether no revision has been accepted in the era of the term.
func (s *session) lacksEraRevision() bool { return objectapi.EraOf(s.current.Number) < s.grant.Era() }

// run compiles at the start, after each signal and at each resync, and writes statuses in between.
func (s *session) run(ctx context.Context) error {
	if s.lacksEraRevision() {
		// Operators rewrite lost changes, and peers send the last revision of the earlier era, within this time.
		_ = s.cfg.Clock.Sleep(ctx, objectapi.RestoreGracePeriod)
		s.resumeFromAdopted()
	}
	for ctx.Err() == nil {
		err := s.recordEra(ctx)
		if err == nil {
			err = s.round(ctx)
		}
		if err == nil {
			err = s.wait(ctx)
		}
		if errors.Is(err, lease.ErrFenced) {
			return err
		}
		if err != nil {
			s.metrics.failed.Inc(1)
			s.warn(err, "round")
			_ = s.cfg.Clock.Sleep(ctx, retryPause)
		}
	}
	return nil
}

// round compiles once and publishes the revision if it changed.
func (s *session) round(ctx context.Context) error {
	s.lastRound = s.cfg.Clock.Now()
	in, err := s.inputs(ctx)
	if err != nil {
		return err
	}
	s.metrics.rounds.Inc(1)
	begin := s.cfg.Clock.Now()
	c := Compile(s.current, in)
	s.metrics.compile.Record(s.cfg.Clock.Now().Sub(begin))
	s.metrics.rejected.Update(float64(rejected(c.Results)))
	if c.Changed {
		if err := s.publish(ctx, c.Revision); err != nil {
			return err
		}
	}
	s.statuses.setResults(c, in.Rollouts)
	s.collect(ctx)
	return nil
}

func (s *session) inputs(ctx context.Context) (Inputs, error) {
	services, err := s.list(ctx, resource.KindService)
	if err != nil {
		return Inputs{}, err
	}
	states, err := s.list(ctx, rollout.Kind)
	if err != nil {
		return Inputs{}, err
	}
	evacuations, err := s.list(ctx, resource.KindEvacuation)
	if err != nil {
		return Inputs{}, err
	}
	in := Inputs{
		Services:  resource.ReadServices(services),
		Evacuated: namesOf(evacuations),
		EraStart:  objectapi.EraStart(s.grant.Term),
		Republish: s.lacksEraRevision() || s.current.Number != s.head.Value().Revision,
	}
	in.Rollouts, err = rollout.ReadStates(states, s.grant.Era())
	if err != nil {
		s.warn(err, "read rollouts")
	}
	return in, nil
}

// list reads the objects of a kind. It returns lease.ErrFenced when the API is in a later era than the term.
func (s *session) list(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, error) {
	list, version, err := s.cfg.Store.List(ctx, kind)
	if err == nil {
		err = s.grant.CheckEra(version)
	}
	return list, trace.Wrap(err, "list %s", kind)
}

// namesOf returns the names of objects, sorted.
func namesOf(objects []objectapi.Object) []string {
	var names []string
	for _, o := range objects {
		names = append(names, o.Name)
	}
	slices.Sort(names)
	return names
}

// publish stores the revision and then advances the head. When a late write of an earlier term has changed the head,
// the revision that it names is loaded, and the next round compiles on top of it.
func (s *session) publish(ctx context.Context, r resource.Revision) error {
	name, err := save(ctx, s.cfg.Store, r, maxPart)
	if err != nil {
		return err
	}
	h := stampedHead{resource.Head{Revision: r.Number, Object: name, Time: s.cfg.Clock.Now()}}
	err = s.head.Write(ctx, h)
	if errors.Is(err, objectapi.ErrConflict) {
		return trace.NewAggregate(err, s.load(ctx))
	}
	if err != nil {
		return trace.Wrap(err, "advance head to %d", r.Number)
	}
	s.current = r
	s.publishedAt = s.cfg.Clock.Now()
	s.metrics.accepted.Inc(1)
	s.metrics.head.Update(float64(r.Number))
	s.cfg.Log.Info().Str("op", "accept").Uint64("revision", r.Number).Uint64("term", s.grant.Term).
		Int("services", len(r.Services)).Send()
	if s.cfg.Adopter != nil {
		s.cfg.Adopter.Offer(r, SourceHead)
	}
	return nil
}

// collect deletes old revisions. After a failure the next round tries again.
func (s *session) collect(ctx context.Context) {
	if s.current.Number <= s.cfg.Keep {
		return
	}
	below := s.current.Number - s.cfg.Keep
	if below < s.collected+s.cfg.Keep {
		return
	}
	n, err := collect(ctx, s.cfg.Store, below)
	if err != nil {
		s.warn(err, "collect")
		return
	}
	s.collected = below
	s.cfg.Log.Debug().Str("op", "collect").Uint64("below", below).Int("deleted", n).Send()
}

// wait writes statuses until a signal, after which it batches changes, or until the resync is due.
func (s *session) wait(ctx context.Context) error {
	due := s.lastRound.Add(s.cfg.Resync)
	for ctx.Err() == nil && s.cfg.Clock.Now().Before(due) {
		if err := s.statuses.write(ctx); err != nil {
			return err
		}
		if s.takeSignal() {
			return s.batchChanges(ctx)
		}
		s.waitSignal(ctx, statusTick)
	}
	return nil
}

// batchChanges waits for batchDelay so that further changes share the revision, and writes statuses meanwhile.
func (s *session) batchChanges(ctx context.Context) error {
	s.batchUntil = s.cfg.Clock.Now().Add(s.batchDelay())
	defer func() { s.batchUntil = time.Time{} }()
	for ctx.Err() == nil && !s.isBatchDue() {
		if err := s.statuses.write(ctx); err != nil {
			return err
		}
		_ = s.cfg.Clock.Sleep(ctx, min(statusTick, s.batchUntil.Sub(s.cfg.Clock.Now())))
	}
	s.takeSignal()
	return nil
}

// isBatchDue reports whether the delay of batchChanges has elapsed.
func (s *session) isBatchDue() bool {
	return !s.batchUntil.IsZero() && !s.cfg.Clock.Now().Before(s.batchUntil)
}

// waitSignal returns after d or at a signal, which it leaves pending.
func (s *session) waitSignal(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := make(chan struct{})
	go func() {
		defer close(timer)
		_ = s.cfg.Clock.Sleep(ctx, d)
	}()
	select {
	case <-timer:
	case <-s.signal:
		s.raiseSignal()
	}
}

// readsPerAdoption is the number of reads of a balancer for one revision: the object and the next watch of the head.
const readsPerAdoption = 2

// batchDelay returns how long to batch changes: the window, or longer to keep the interval since the last revision and
// the time in which all balancers can fetch it at ReadRate.
func (s *session) batchDelay() time.Duration {
	balancers := s.cfg.Acks.InForce(s.current.Number).Known
	pace := time.Duration(balancers*readsPerAdoption) * time.Second / time.Duration(s.cfg.ReadRate)
	next := s.publishedAt.Add(max(pace, s.cfg.Interval))
	return max(s.cfg.Window, next.Sub(s.cfg.Clock.Now()))
}

func (s *session) takeSignal() bool {
	select {
	case <-s.signal:
		return true
	default:
		return false
	}
}

func (s *session) raiseSignal() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// watch raises a signal at each change of a kind. The round lists the objects itself, so that repeated, late or missing
// events do no harm.
func (s *session) watch(ctx context.Context, kind objectapi.Kind) error {
	for ctx.Err() == nil {
		_, from, err := s.cfg.Store.List(ctx, kind)
		if err == nil {
			s.raiseSignal()
			err = s.watchFrom(ctx, kind, from)
		}
		if err != nil && !errors.Is(err, objectapi.ErrExpired) {
			_ = s.cfg.Clock.Sleep(ctx, retryPause)
		}
	}
	return nil
}

func (s *session) watchFrom(ctx context.Context, kind objectapi.Kind, from uint64) error {
	for ctx.Err() == nil {
		events, next, err := s.cfg.Store.Watch(ctx, kind, from)
		if err != nil {
			return err
		}
		from = next
		if len(events) > 0 {
			s.raiseSignal()
		}
	}
	return nil
}

func (s *session) warn(err error, step string) {
	s.cfg.Log.Warn().Err(err).Str("op", "compile").Str("step", step).Uint64("term", s.grant.Term).Send()
}
