package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// LeaseName is the name of the lease of the rollout duty.
const LeaseName = "rollout"

// DefaultTick is the time between two evaluations.
const DefaultTick = 5 * time.Second

// Controller is the duty that advances all rollouts.
type Controller struct {
	// Store keeps the rollout objects.
	Store objectapi.Store
	// Configs returns the accepted configurations. They must be at least as new as the head when the term began: with
	// older ones a holder would restart an earlier rollout, or clear the state of a later one.
	Configs func() []resource.ServiceConfig
	// Source reads the counters.
	Source Source
	// Gate decides; nil means Default.
	Gate Gate
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// Tick is the time between two evaluations; 0 means DefaultTick.
	Tick time.Duration
	// Metrics receives the counters; nil means none.
	Metrics tally.Scope
	// Log receives a line for each step.
	Log zerolog.Logger
}

// Duty runs until ctx ends or a later term has claimed an object. It is a lease.Duty.
func (c *Controller) Duty(ctx context.Context, g lease.Grant) error {
	s := newSession(c.withDefaults(), g)
	for ctx.Err() == nil {
		if err := s.tick(ctx); err != nil {
			return err
		}
		_ = s.cfg.Clock.Sleep(ctx, s.cfg.Tick)
	}
	return nil
}

func (c *Controller) withDefaults() Controller {
	d := *c
	if d.Gate == nil {
		d.Gate = Default()
	}
	if d.Clock == nil {
		d.Clock = lease.SystemClock{}
	}
	if d.Metrics == nil {
		d.Metrics = tally.NoopScope
	}
	if d.Tick == 0 {
		d.Tick = DefaultTick
	}
	return d
}

// session is the rollout duty within one term.
type session struct {
	cfg     Controller
	grant   lease.Grant
	tracks  map[string]*track
	metrics metrics
	// cleared is set when no state is left of a rollout that is no longer configured.
	cleared bool
}

func newSession(cfg Controller, g lease.Grant) *session {
	return &session{cfg: cfg, grant: g, tracks: make(map[string]*track), metrics: newMetrics(cfg.Metrics)}
}

// tick evaluates each rollout once. An error in one service does not delay the others.
func (s *session) tick(ctx context.Context) error {
	configs := s.cfg.Configs()
	if err := s.clearRemoved(ctx, configs); err != nil {
		if errors.Is(err, lease.ErrFenced) {
			return err
		}
		s.cfg.Log.Warn().Err(err).Str("op", "rollout").Uint64("term", s.grant.Term).Send()
	}
	for _, c := range configs {
		err := s.stepService(ctx, c)
		if errors.Is(err, lease.ErrFenced) {
			return err
		}
		if err != nil {
			delete(s.tracks, c.Name)
			s.cleared = false
			s.metrics.failed.Inc(1)
			s.cfg.Log.Warn().Err(err).Str("op", "rollout").Str("service", c.Name).Uint64("term", s.grant.Term).Send()
		}
	}
	s.metrics.progressing.Update(float64(s.progressing()))
	return nil
}

// progressing returns the number of rollouts that have not ended.
func (s *session) progressing() int {
	n := 0
	for _, t := range s.tracks {
		if t.record.Value().State == resource.RolloutProgressing {
			n++
		}
	}
	return n
}

func (s *session) stepService(ctx context.Context, c resource.ServiceConfig) error {
	if c.Spec.Rollout == nil {
		return nil
	}
	t, ok := s.tracks[c.Name]
	if !ok {
		var err error
		t, err = newTrack(ctx, s, c.Name)
		if err != nil {
			return err
		}
		if err := t.resume(ctx, c); err != nil {
			return err
		}
		s.tracks[c.Name] = t
	}
	return t.step(ctx, c)
}

// clearRemoved clears the states of rollouts that are no longer configured, once in a term and whenever a tracked
// rollout is removed. The objects stay, since their terms fence them.
func (s *session) clearRemoved(ctx context.Context, configs []resource.ServiceConfig) error {
	asked := make(map[string]bool)
	for _, c := range configs {
		asked[c.Name] = c.Spec.Rollout != nil
	}
	for name := range s.tracks {
		if !asked[name] {
			delete(s.tracks, name)
			s.cleared = false
		}
	}
	if s.cleared {
		return nil
	}
	list, _, err := s.cfg.Store.List(ctx, Kind)
	if err != nil {
		return trace.Wrap(err, "list rollouts")
	}
	// An unreadable object is claimed and written when its service configures a rollout.
	states, _ := ReadStates(list, 0)
	for name, state := range states {
		if state.State == "" || asked[name] {
			continue
		}
		t, err := newTrack(ctx, s, name)
		if err != nil {
			return err
		}
		if err := t.record.Write(ctx, Record{Era: s.grant.Era()}); err != nil {
			return trace.Wrap(err, "clear rollout of %s", name)
		}
	}
	s.cleared = true
	return nil
}
