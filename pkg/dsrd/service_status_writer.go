package dsrd

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Times of the statuses of services.
const (
	// serviceStatusCallInterval is the least time between two calls, whatever the number of services that change.
	serviceStatusCallInterval = 200 * time.Millisecond
	// serviceStatusInterval is the least time between two writes for one service.
	serviceStatusInterval = 5 * time.Second
	// serviceStatusSettleTime is the time from the beginning of the watch for others to the first write: by then the agents
	// have announced themselves, and a balancer that watched before has yielded.
	serviceStatusSettleTime = 5 * time.Second
	// serviceStatusReadInterval is the time between two reads while a service is saturated: objects may have been changed or
	// deleted by somebody else.
	serviceStatusReadInterval = time.Minute
	// serviceStatusStall is the time between two passes from which the process counts as stalled: another balancer may
	// watch since, and what is known of the agents is old.
	serviceStatusStall = time.Second
)

// serviceStatusWriter keeps the statuses of saturated services in the object API while this balancer watches the
// configuration for the others. Nothing waits for it. No lock is held during a call.
type serviceStatusWriter struct {
	store objectapi.Store
	log   zerolog.Logger
	scope tally.Scope
	// writer is the name of this balancer.
	writer string
	// watches reports whether this balancer watches for the others.
	watches func() bool
	states  serviceStates
	// era returns the newest known era of the object API.
	era func() uint64

	// stored are the objects as read or written last, valid while known is set and the era is readEra.
	stored  map[string]storedServiceStatus
	known   bool
	readAt  time.Time
	readEra uint64
	// settled is when the first write may follow; zero while another balancer watches.
	settled  time.Time
	lastPass time.Time
	pause    callPause
}

func (w *serviceStatusWriter) run(ctx context.Context) error {
	return every(ctx, serviceStatusCallInterval, func(now time.Time) { w.pass(ctx, now) })
}

// pass makes one call at most.
func (w *serviceStatusWriter) pass(ctx context.Context, now time.Time) {
	if !w.mayWrite(now) || !w.pause.isOver(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	w.recordResult(w.call(ctx, now))
}

// mayWrite reports whether this balancer has watched for the others long enough.
func (w *serviceStatusWriter) mayWrite(now time.Time) bool {
	stalled := !w.lastPass.IsZero() && now.Sub(w.lastPass) > serviceStatusStall+readTimeout
	w.lastPass = now
	if !w.watches() {
		w.settled, w.known = time.Time{}, false
		return false
	}
	if w.settled.IsZero() || stalled {
		w.settled, w.known = now.Add(serviceStatusSettleTime), false
	}
	return !now.Before(w.settled)
}

// call makes the call that is due: a read, or the write of the status that was written longest ago.
func (w *serviceStatusWriter) call(ctx context.Context, now time.Time) error {
	if w.mustRead(now) {
		return w.read(ctx, now)
	}
	states := w.states.serviceStates(now)
	name, due := w.due(now, states)
	if !due {
		return nil
	}
	return w.write(ctx, now, name, states[name])
}

// mustRead reports whether the stored statuses are to be read. While no service is saturated, one read is enough.
func (w *serviceStatusWriter) mustRead(now time.Time) bool {
	if !w.known || w.era() != w.readEra {
		return true
	}
	if now.Sub(w.readAt) < serviceStatusReadInterval {
		return false
	}
	for _, s := range w.stored {
		if s.status.Saturated() {
			return true
		}
	}
	return false
}

// due returns the service whose status is to be written. Services without agents count as not saturated.
func (w *serviceStatusWriter) due(now time.Time, states map[string]serviceState) (name string, found bool) {
	consider := func(candidate string) {
		stored := w.stored[candidate]
		if !states[candidate].differs(stored.status) || now.Sub(stored.written) < serviceStatusInterval {
			return
		}
		first := stored.written.Compare(w.stored[name].written)
		if !found || first < 0 || first == 0 && candidate < name {
			name, found = candidate, true
		}
	}
	for candidate := range states {
		consider(candidate)
	}
	for candidate := range w.stored {
		consider(candidate)
	}
	return name, found
}

// read reads all statuses. The times of this process's writes are kept, so that a write whose answer was lost is not
// repeated sooner than another.
func (w *serviceStatusWriter) read(ctx context.Context, now time.Time) error {
	w.known = false
	era := w.era()
	objects, _, err := w.store.List(ctx, resource.KindDSRServiceStatus)
	if err != nil {
		return err
	}
	before := w.stored
	w.stored = storedServiceStatusesOf(objects, w.log)
	for name, s := range before {
		if now.Sub(s.written) < serviceStatusInterval {
			kept := w.stored[name]
			kept.written = s.written
			w.stored[name] = kept
		}
	}
	w.known, w.readAt, w.readEra = true, now, era
	return nil
}

// write creates the status of a service, or replaces the version that was read. After any failure all are read again.
func (w *serviceStatusWriter) write(ctx context.Context, now time.Time, name string, s serviceState) error {
	w.known = false
	stored := w.stored[name]
	stored.written = now
	w.stored[name] = stored
	status := s.status(now, w.writer, stored.status)
	value, err := json.Marshal(status)
	if err != nil {
		return trace.Wrap(err, "encoding the status of service %s", name)
	}
	o, err := createOrUpdate(ctx, w.store, objectapi.Object{Kind: resource.KindDSRServiceStatus, Name: name, Version: stored.version, Value: value})
	w.scope.Tagged(map[string]string{"result": writeResult(err)}).Counter("dsr_service_status_writes").Inc(1)
	if err != nil {
		return err
	}
	stored.version, stored.status = o.Version, status
	w.stored[name], w.known = stored, true
	w.log.Info().Str("op", "write-service-status").Str("service", name).Str("state", string(status.State)).Time("saturated_since", status.SaturatedSince).
		Ints("refused_priorities", status.RefusedPriorities).Float64("capacity_per_second", status.CapacityPerSecond).Int("ready", status.TargetsReady).
		Int("at_connection_limit", status.TargetsAtConnectionLimit).Msg("the state of a service changed")
	return nil
}

// recordResult records the result of a call and logs when calls start to fail or to succeed. A conflict is no failure of
// the object API.
func (w *serviceStatusWriter) recordResult(err error) {
	if errors.Is(err, objectapi.ErrConflict) {
		err = nil
	}
	switch w.pause.record(time.Now(), err) {
	case failuresBegan:
		w.log.Warn().Err(err).Str("op", "write-service-status").Msg("the status of services cannot be written; what operators see may be old")
	case failuresEnded:
		w.log.Warn().Str("op", "write-service-status").Msg("writing the status of services works again")
	}
}
