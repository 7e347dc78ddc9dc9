package lease

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Duty is work that runs while its process holds a lease. Its context ends with the validity of the lease. A duty must
// write its objects through Fenced with the grant, or check terms in an equivalent way.
type Duty func(ctx context.Context, g Grant) error

// Grant is the right to run a duty for one term.
type Grant struct {
	// Holder is the process that holds the lease.
	Holder string
	// Term is the term of the lease.
	Term uint64
}

// Era returns the era of the object API to which the grant belongs.
func (g Grant) Era() uint64 { return objectapi.EraOf(g.Term) }

// CheckEra returns ErrFenced when a version is of a later era than the grant: the lease may have been lost with the
// earlier era, and another process may hold it.
func (g Grant) CheckEra(version uint64) error {
	if era := objectapi.EraOf(version); era > g.Era() {
		return trace.Wrap(ErrFenced, "the object API is in era %d, the term in %d", era, g.Era())
	}
	return nil
}

// Runner executes the actions of a State against a store and runs the duty while the lease is held.
type Runner struct {
	// Store holds the lease object.
	Store objectapi.Store
	// Config names the lease and the process.
	Config Config
	// Clock is the local clock; nil means SystemClock.
	Clock Clock
	// Log records changes of the holder and failures of the duty.
	Log zerolog.Logger
	// Metrics receives the metrics; nil means none.
	Metrics tally.Scope
	// Eligible reports whether this process is a candidate; nil means always. Each candidate polls the store, so fewer
	// candidates cause fewer reads.
	Eligible func() bool
}

// Run competes for the lease and runs the duty in each term, until ctx ends. It then waits for the duty, releases the
// lease and returns the error of ctx.
func (r *Runner) Run(ctx context.Context, duty Duty) error {
	l := newLoop(r, duty)
	l.run(ctx)
	l.stop()
	l.release(context.WithoutCancel(ctx))
	return ctx.Err()
}

// execute performs one action and returns its outcome.
func (r *Runner) execute(ctx context.Context, a Action) Observation {
	switch a.Kind {
	case ActionRead:
		o, err := r.Store.Get(ctx, Kind, r.Config.Name)
		return r.outcome(o, err, ObservedObject)
	case ActionCreate:
		return r.write(ctx, a, func(b []byte) (objectapi.Object, error) {
			return r.Store.Create(ctx, Kind, r.Config.Name, b)
		})
	case ActionUpdate:
		return r.write(ctx, a, func(b []byte) (objectapi.Object, error) {
			return r.Store.Update(ctx, objectapi.Object{Kind: Kind, Name: r.Config.Name, Version: a.Version, Value: b})
		})
	}
	return Observation{}
}

func (r *Runner) write(ctx context.Context, a Action, call func([]byte) (objectapi.Object, error)) Observation {
	b, err := a.Record.encode()
	if err != nil {
		return Observation{Kind: ObservedUnavailable}
	}
	o, err := call(b)
	return r.outcome(o, err, ObservedWritten)
}

func (r *Runner) outcome(o objectapi.Object, err error, done ObservationKind) Observation {
	switch {
	case err == nil:
		return r.decode(o, done)
	case errors.Is(err, objectapi.ErrNotFound) && done == ObservedObject:
		return Observation{Kind: ObservedAbsent}
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		return Observation{Kind: ObservedConflict}
	case errors.Is(err, objectapi.ErrUnavailable), done == ObservedObject:
		r.Log.Debug().Err(err).Str("op", "lease").Str("lease", r.Config.Name).Str("reason", "unavailable").Send()
		return Observation{Kind: ObservedUnavailable}
	}
	return Observation{Kind: ObservedUnknown}
}

func (r *Runner) decode(o objectapi.Object, done ObservationKind) Observation {
	if done == ObservedWritten {
		return Observation{Kind: done, Version: o.Version}
	}
	rec, err := decodeRecord(o.Value)
	if err != nil {
		// A lease that cannot be decoded can be taken over like one that is not renewed.
		r.Log.Warn().Err(err).Str("op", "lease").Str("lease", r.Config.Name).Str("reason", "malformed").Send()
		rec = Record{Holder: "unknown"}
	}
	return Observation{Kind: done, Version: o.Version, Record: rec}
}

func (r *Runner) clock() Clock {
	if r.Clock == nil {
		return SystemClock{}
	}
	return r.Clock
}

func (r *Runner) eligible() bool { return r.Eligible == nil || r.Eligible() }

// callTimeout bounds one call, so that one that blocks leaves time for another renewal within the validity.
func (r *Runner) callTimeout() time.Duration { return r.Config.renewInterval() }
