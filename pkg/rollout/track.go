package rollout

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// track follows one rollout within one term.
type track struct {
	cfg      Controller
	service  string
	record   *lease.Fenced[Record, *Record]
	evidence Evidence
	// began is when this term began to observe the step, on the local clock.
	began time.Time
	// last are the counters read last; nil asks for a first reading.
	last *StepCounts
}

func newTrack(ctx context.Context, cfg Controller, service string, g lease.Grant) (*track, error) {
	r, err := lease.Claim[Record](ctx, cfg.Store, Kind, service, g)
	if err != nil {
		return nil, trace.Wrap(err, "claim rollout of %s", service)
	}
	t := &track{cfg: cfg, service: service, record: r, began: cfg.Clock.Now()}
	t.evidence.Past = r.Value().Past
	return t, nil
}

// step reads the counters, judges and stores what changed.
func (t *track) step(ctx context.Context, r resource.Rollout) error {
	now := t.cfg.Clock.Now()
	state := t.record.Value().RolloutStatus
	if err := t.observe(r, now); err != nil {
		return err
	}
	next := Step(r, state, t.evidence, t.cfg.Gate, now)
	if next == state {
		return nil
	}
	return t.enter(ctx, state, next, now)
}

// observe adds what was counted since the reading before. A reading after a counter began anew only sets the mark.
func (t *track) observe(r resource.Rollout, now time.Time) error {
	reading, err := t.read(r)
	if err != nil {
		return err
	}
	if t.last != nil {
		old, okOld := reading.Old.Since(t.last.Old)
		fresh, okNew := reading.New.Since(t.last.New)
		if okOld && okNew {
			t.evidence = t.evidence.Add(StepCounts{Old: old, New: fresh}, now.Sub(t.began))
		}
	}
	t.last = &reading
	return nil
}

func (t *track) read(r resource.Rollout) (StepCounts, error) {
	old, err := t.cfg.Source.Read(t.service, r.From)
	if err != nil {
		return StepCounts{}, trace.Wrap(err, "read counters of %s version %s", t.service, r.From)
	}
	fresh, err := t.cfg.Source.Read(t.service, r.To)
	if err != nil {
		return StepCounts{}, trace.Wrap(err, "read counters of %s version %s", t.service, r.To)
	}
	return StepCounts{Old: old, New: fresh}, nil
}

// enter stores the next state and begins to observe it.
func (t *track) enter(ctx context.Context, state, next resource.RolloutStatus, now time.Time) error {
	evidence := t.evidence.Next()
	if state.From != next.From || state.To != next.To {
		evidence = Evidence{}
	}
	if err := t.record.Write(ctx, Record{RolloutStatus: next, Past: evidence.Past}); err != nil {
		return trace.Wrap(err, "store rollout of %s", t.service)
	}
	t.evidence = evidence
	t.began = now
	t.cfg.Log.Info().Str("op", "rollout").Str("service", t.service).Str("from", next.From).Str("to", next.To).
		Int("step", next.Step).Uint32("weight", next.Weight).Str("state", string(next.State)).Str("reason", next.Message).Send()
	return nil
}
