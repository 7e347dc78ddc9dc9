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

// session is the compile duty within one term. Only run uses its fields besides signal.
type session struct {
	cfg      Compiler
	grant    lease.Grant
	head     *fencedHead
	current  resource.Revision
	statuses *statusWriter
	metrics  metrics
	signal   chan struct{}
	// last is when the last round began, and published when the head was advanced last.
	last      time.Time
	published time.Time
	// holdUntil is the end of the time in which changes are gathered; zero outside of it.
	holdUntil time.Time
	// described is set when the object API's era is described.
	described bool
	// collected is the number below which revisions were deleted.
	collected uint64
}

// newSession claims the head, so that no write of an earlier term takes effect from here on.
func newSession(ctx context.Context, cfg Compiler, g lease.Grant) (*session, error) {
	head, err := lease.Claim[stampedHead](ctx, cfg.Store, resource.KindHead, resource.HeadName, g)
	if err != nil {
		return nil, trace.Wrap(err, "claim head")
	}
	s := &session{cfg: cfg, grant: g, head: head, signal: make(chan struct{}, 1), metrics: newMetrics(cfg.Metrics)}
	s.statuses = newStatusWriter(cfg, g, s.metrics.statuses)
	s.statuses.yield = func() bool { return len(s.signal) > 0 || s.heldEnough() }
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
	s.keepAdopted()
	return nil
}

// keepAdopted goes on from the revision that this process has in force when the object API has lost it.
func (s *session) keepAdopted() {
	if s.cfg.Adopter == nil {
		return
	}
	if r, known := s.cfg.Adopter.Current(); known && r.Number > s.current.Number {
		s.current = r
	}
}

// restored reports whether no revision of this era was accepted yet.
func (s *session) restored() bool { return objectapi.EraOf(s.current.Number) < s.grant.Era() }

// run compiles at the start, at each signal and at each resync, and writes statuses in between.
func (s *session) run(ctx context.Context) error {
	if s.restored() {
		// Operators write again what was lost, and peers hand over the last revision before.
		_ = s.cfg.Clock.Sleep(ctx, objectapi.RestoreGracePeriod)
		s.keepAdopted()
	}
	for ctx.Err() == nil {
		err := s.describeEra(ctx)
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

// round compiles once and publishes what changed.
func (s *session) round(ctx context.Context) error {
	s.last = s.cfg.Clock.Now()
	in, err := s.inputs(ctx)
	if err != nil {
		return err
	}
	s.metrics.rounds.Inc(1)
	begin := s.cfg.Clock.Now()
	c := Compile(s.current, in)
	s.metrics.compile.Record(s.cfg.Clock.Now().Sub(begin))
	s.metrics.refused.Update(float64(refused(c.Results)))
	if c.Changed {
		if err := s.publish(ctx, c.Revision); err != nil {
			return err
		}
	}
	s.statuses.set(c, in.Rollouts)
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
		Republish: s.restored() || s.current.Number != s.head.Value().Revision,
	}
	in.Rollouts, err = rollout.ReadStates(states, s.grant.Era())
	if err != nil {
		s.warn(err, "read rollouts")
	}
	return in, nil
}

// list reads the objects of a kind in the era of the term.
func (s *session) list(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, error) {
	list, version, err := s.cfg.Store.List(ctx, kind)
	if err == nil {
		err = s.grant.CheckEra(version)
	}
	return list, trace.Wrap(err, "list %s", kind)
}

// namesOf returns the sorted names of objects.
func namesOf(objects []objectapi.Object) []string {
	var names []string
	for _, o := range objects {
		names = append(names, o.Name)
	}
	slices.Sort(names)
	return names
}

// publish stores the revision and then advances the head. When the head was written by somebody else of an earlier
// term, the revision that it names is loaded, and the next round compiles on top of it.
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
	s.published = s.cfg.Clock.Now()
	s.metrics.accepted.Inc(1)
	s.metrics.head.Update(float64(r.Number))
	s.cfg.Log.Info().Str("op", "accept").Uint64("revision", r.Number).Uint64("term", s.grant.Term).
		Int("services", len(r.Services)).Send()
	if s.cfg.Adopter != nil {
		s.cfg.Adopter.Offer(r, SourceHead)
	}
	return nil
}

// collect deletes old revisions. Failures wait for the next round.
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

// wait writes statuses until a signal or the resync is due, and then holds back for the window and the pace.
func (s *session) wait(ctx context.Context) error {
	due := s.last.Add(s.cfg.Resync)
	for ctx.Err() == nil && s.cfg.Clock.Now().Before(due) {
		if err := s.statuses.write(ctx); err != nil {
			return err
		}
		if s.signalled() {
			return s.hold(ctx)
		}
		s.pause(ctx, statusTick)
	}
	return nil
}

// hold gathers changes for the time that the pace asks for, and writes statuses meanwhile.
func (s *session) hold(ctx context.Context) error {
	s.holdUntil = s.cfg.Clock.Now().Add(s.holdBack())
	defer func() { s.holdUntil = time.Time{} }()
	for ctx.Err() == nil && !s.heldEnough() {
		if err := s.statuses.write(ctx); err != nil {
			return err
		}
		_ = s.cfg.Clock.Sleep(ctx, min(statusTick, s.holdUntil.Sub(s.cfg.Clock.Now())))
	}
	s.signalled()
	return nil
}

// heldEnough reports whether the time of hold is over.
func (s *session) heldEnough() bool {
	return !s.holdUntil.IsZero() && !s.cfg.Clock.Now().Before(s.holdUntil)
}

// pause returns after d, or as soon as there is a signal, which it leaves in place.
func (s *session) pause(ctx context.Context, d time.Duration) {
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
		s.raise()
	}
}

// readsPerAdoption is what a balancer spends on one revision: it reads the object and waits for the next head.
const readsPerAdoption = 2

// holdBack returns how long to gather changes: the window, and longer when the revision before is too recent or when the
// balancers need longer to fetch it within their rate of reads.
func (s *session) holdBack() time.Duration {
	_, m := s.cfg.Acks.InForce(s.current.Number)
	pace := time.Duration(m*readsPerAdoption) * time.Second / time.Duration(s.cfg.ReadRate)
	next := s.published.Add(max(pace, s.cfg.Interval))
	return max(s.cfg.Window, next.Sub(s.cfg.Clock.Now()))
}

func (s *session) signalled() bool {
	select {
	case <-s.signal:
		return true
	default:
		return false
	}
}

func (s *session) raise() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// watch raises a signal at each change of a kind. What changed is read by the round, so that repeated, late or
// missing events do no harm.
func (s *session) watch(ctx context.Context, kind objectapi.Kind) error {
	for ctx.Err() == nil {
		_, from, err := s.cfg.Store.List(ctx, kind)
		if err == nil {
			s.raise()
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
			s.raise()
		}
	}
	return nil
}

func (s *session) warn(err error, step string) {
	s.cfg.Log.Warn().Err(err).Str("op", "compile").Str("step", step).Uint64("term", s.grant.Term).Send()
}
