package rollout

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// track advances one rollout within one term.
type track struct {
	cfg      Controller
	metrics  metrics
	service  string
	era      uint64
	record   *lease.Fenced[Record, *Record]
	evidence Evidence
	// began is when this term began to observe the step, on the local clock.
	began time.Time
	// lastCounts are the counters of the previous reading; nil before the first.
	lastCounts *StepCounts
}

func newTrack(ctx context.Context, s *session, service string) (*track, error) {
	r, err := lease.Claim[Record](ctx, s.cfg.Store, Kind, service, s.grant)
	if err != nil {
		return nil, trace.Wrap(err, "claim rollout of %s", service)
	}
	t := &track{cfg: s.cfg, metrics: s.metrics, service: service, era: s.grant.Era(), record: r, began: s.cfg.Clock.Now()}
	t.evidence.Past = r.Value().Past
	return t, nil
}

// resume restores steps that the object API has lost from the shares in force, once in each era.
func (t *track) resume(ctx context.Context, c resource.ServiceConfig) error {
	record := t.record.Value()
	if record.Era >= t.era {
		return nil
	}
	record.Era = t.era
	state := Resume(*c.Spec.Rollout, record.RolloutStatus, c.Spec.Shares, t.cfg.Clock.Now())
	if state != record.RolloutStatus {
		record.RolloutStatus, record.Past = state, nil
		t.evidence = Evidence{}
		t.cfg.Log.Warn().Str("op", "rollout").Str("service", t.service).Str("to", state.To).Int("step", state.Step).
			Uint32("weight", state.Weight).Str("state", string(state.State)).Str("reason", state.Message).Send()
	}
	return trace.Wrap(t.record.Write(ctx, record), "store rollout of %s", t.service)
}

// step reads the counters, evaluates the current step and stores a change.
func (t *track) step(ctx context.Context, c resource.ServiceConfig) error {
	r := *c.Spec.Rollout
	state := t.record.Value().RolloutStatus
	if hasEnded(r, state) {
		return nil
	}
	if err := t.observe(ctx, c); err != nil {
		// Counters never decrease, so the next reading makes up for this one.
		t.warn(err)
	}
	now := t.cfg.Clock.Now()
	next := Step(r, state, t.evidence, t.cfg.Gate, now)
	if next == state {
		return nil
	}
	return t.enter(ctx, state, next, now)
}

// hasEnded reports whether the rollout has ended, so that no more counters need to be read.
func hasEnded(r resource.Rollout, s resource.RolloutStatus) bool {
	return s.From == r.From && s.To == r.To && s.State != resource.RolloutProgressing
}

// observe adds what was counted since the previous reading. After a counter reset, the reading is only the new base.
func (t *track) observe(ctx context.Context, c resource.ServiceConfig) error {
	reading, err := t.cfg.Source.Read(ctx, c)
	if err != nil {
		return trace.Wrap(err, "read counters of %s", t.service)
	}
	now := t.cfg.Clock.Now()
	if t.lastCounts != nil {
		old, okOld := reading.Old.Since(t.lastCounts.Old)
		fresh, okNew := reading.New.Since(t.lastCounts.New)
		if okOld && okNew {
			t.evidence = t.evidence.Add(StepCounts{Old: old, New: fresh}, now.Sub(t.began))
		}
	}
	t.lastCounts = &reading
	return nil
}

func (t *track) warn(err error) {
	t.metrics.unread.Inc(1)
	t.cfg.Log.Warn().Err(err).Str("op", "rollout").Str("service", t.service).Send()
}

// enter stores the next state and begins to observe it.
func (t *track) enter(ctx context.Context, state, next resource.RolloutStatus, now time.Time) error {
	evidence := t.evidence.Next()
	if state.From != next.From || state.To != next.To {
		evidence = Evidence{}
	}
	if err := t.record.Write(ctx, Record{RolloutStatus: next, Past: evidence.Past, Era: t.era}); err != nil {
		return trace.Wrap(err, "store rollout of %s", t.service)
	}
	t.metrics.entered(next.State)
	t.evidence = evidence
	t.began = now
	t.cfg.Log.Info().Str("op", "rollout").Str("service", t.service).Str("from", next.From).Str("to", next.To).
		Int("step", next.Step).Uint32("weight", next.Weight).Str("state", string(next.State)).Str("reason", next.Message).Send()
	return nil
}
