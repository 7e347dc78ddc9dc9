package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Applier writes services by conditional updates.
type Applier struct {
	Store objectapi.Store
	// Retries is the maximum number of concurrent changes of other operators that are overwritten. With 0, another
	// operator's change is kept.
	Retries int
	// DryRun skips all writes.
	DryRun bool
}

// maxAttempts is the maximum number of attempts of one write whose outcome is unknown.
const maxAttempts = 5

// Apply makes s the stored service and returns what was done. It returns an error that matches objectapi.ErrConflict when
// another operator's change is kept, objectapi.ErrOutcomeUnknown when a write may have taken effect and could not be
// confirmed by reading back, or the store's error. The result is set in every case.
func (a Applier) Apply(ctx context.Context, s resource.Service) (ApplyResult, error) {
	w := write{applier: a, result: ApplyResult{Name: s.Name, DryRun: a.DryRun}}
	var err error
	if w.value, err = resource.Encode(s); err != nil {
		return w.result, trace.Wrap(err)
	}
	if w.base, err = w.read(ctx, s.Name); err != nil {
		w.result.Action = ActionFailed
		return w.result, err
	}
	err = w.run(ctx)
	return w.result, err
}

// write is the state of writing one service.
type write struct {
	applier Applier
	// value is the encoded service to store.
	value []byte
	// base is the stored object as last read; its version is 0 when there was none.
	base objectapi.Object
	// conflicts counts concurrent changes of other operators.
	conflicts int
	// answerLost is true when a write over base may have taken effect, uncertain when one over an earlier base may have.
	answerLost, uncertain bool
	result                ApplyResult
}

// read returns the stored object, or one of version 0 when there is none.
func (w *write) read(ctx context.Context, name string) (objectapi.Object, error) {
	o, err := w.applier.Store.Get(ctx, resource.KindService, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{Kind: resource.KindService, Name: name}, nil
	}
	return o, trace.Wrap(err, "reading service %s", name)
}

// run repeats the write until the value is stored or the write has failed.
func (w *write) run(ctx context.Context) error {
	for range maxAttempts + w.applier.Retries {
		if w.holdsValue(w.base) {
			return w.done(ActionUnchanged, w.base.Version)
		}
		action := w.action()
		if w.applier.DryRun {
			return w.done(action, w.base.Version)
		}
		o, err := w.put(ctx)
		if err == nil {
			return w.done(action, o.Version)
		}
		finished, err := w.resolve(ctx, action, err)
		if finished {
			return err
		}
	}
	return w.fail(ActionUnknown, objectapi.ErrOutcomeUnknown, "gave up after %d answers were lost", maxAttempts)
}

// action returns the action of a write over base.
func (w *write) action() Action {
	if w.base.Version == 0 {
		return ActionCreated
	}
	return ActionConfigured
}

// holdsValue reports whether o exists and has the same content as the value to store.
func (w *write) holdsValue(o objectapi.Object) bool {
	return o.Version != 0 && sameContent(o.Value, w.value)
}

// put attempts one conditional write over base.
func (w *write) put(ctx context.Context) (objectapi.Object, error) {
	if w.base.Version == 0 {
		return w.applier.Store.Create(ctx, resource.KindService, w.base.Name, w.value)
	}
	o := w.base
	o.Value = w.value
	return w.applier.Store.Update(ctx, o)
}

// resolve reads the object back after a failed write. It reports whether the write is finished, and its error.
func (w *write) resolve(ctx context.Context, action Action, cause error) (bool, error) {
	if errors.Is(cause, objectapi.ErrOutcomeUnknown) {
		w.answerLost = true
	} else if !errors.Is(cause, objectapi.ErrConflict) && !errors.Is(cause, objectapi.ErrNotFound) {
		return true, w.abandon(ActionFailed, cause, "the object API did not take the call")
	}
	before := w.base
	now, err := w.read(ctx, before.Name)
	if err != nil {
		return true, w.abandon(ActionFailed, err, "reading back failed")
	}
	w.base = now
	if w.answerLost && w.holdsValue(now) {
		w.result.Detail = "the answer was lost; confirmed by reading back"
		return true, w.done(action, now.Version)
	}
	if now.Version == before.Version {
		// The condition still holds, so the write is safe to repeat: at most one of the two takes effect.
		return false, nil
	}
	return w.resolveConflict(ctx, before, now)
}

// resolveConflict decides whether to overwrite another operator's change between reading and writing. It reports whether
// the write is finished, and its error.
func (w *write) resolveConflict(ctx context.Context, before, now objectapi.Object) (bool, error) {
	if w.answerLost && !w.historyExcludesWrite(ctx, before) {
		w.uncertain = true
	}
	w.answerLost = false
	if w.holdsValue(now) || (!w.uncertain && sameContent(before.Value, now.Value)) {
		return false, nil
	}
	w.conflicts++
	if w.conflicts <= w.applier.Retries {
		w.result.Detail = fmt.Sprintf("overwrote version %d, which another operator wrote meanwhile", now.Version)
		return false, nil
	}
	return true, w.abandon(ActionConflict, objectapi.ErrConflict, "another operator "+describe(before, now)+"; that change stays")
}

// abandon fails the write. When the answer to an earlier attempt was lost, the outcome is unknown whatever the cause.
func (w *write) abandon(a Action, cause error, detail string) error {
	if w.answerLost || w.uncertain {
		return w.fail(ActionUnknown, objectapi.ErrOutcomeUnknown, "%s; the answer to an earlier write was lost, so it may have been stored", detail)
	}
	return w.fail(a, cause, "%s; nothing was written", detail)
}

// historyExcludesWrite reports whether the history proves that a write whose answer was lost did not take effect. Only the
// first change after the version in the write's condition can be that write.
func (w *write) historyExcludesWrite(ctx context.Context, before objectapi.Object) bool {
	if before.Version == 0 {
		return false
	}
	events, _, err := w.applier.Store.Watch(ctx, before.Kind, before.Version)
	if err != nil {
		return false
	}
	for _, e := range events {
		if e.Object.Name == before.Name && e.Object.Version > before.Version {
			return e.Type == objectapi.EventDelete || !sameContent(e.Object.Value, w.value)
		}
	}
	return false
}

// describe describes another operator's change from before to now.
func describe(before, now objectapi.Object) string {
	if now.Version == 0 {
		return fmt.Sprintf("deleted version %d", before.Version)
	}
	if before.Version == 0 {
		return fmt.Sprintf("created the service as version %d", now.Version)
	}
	return fmt.Sprintf("replaced version %d by version %d", before.Version, now.Version)
}

func (w *write) done(a Action, version uint64) error {
	w.result.Action = a
	w.result.Version = version
	return nil
}

// fail records a failure and returns its error.
func (w *write) fail(a Action, cause error, format string, args ...any) error {
	w.result.Action = a
	w.result.Version = w.base.Version
	w.result.Detail = fmt.Sprintf(format, args...)
	return trace.Wrap(cause, "writing service %s: %s", w.result.Name, w.result.Detail)
}

// sameContent reports whether two stored values encode the same service. Values that are not services are compared
// bytewise.
func sameContent(a, b []byte) bool {
	return bytes.Equal(canonical(a), canonical(b))
}

// canonical returns the value in the encoding of this version of the program, or unchanged when it is not a service.
func canonical(v []byte) []byte {
	var s resource.Service
	if err := resource.Decode(v, &s); err != nil {
		return v
	}
	b, err := resource.Encode(s)
	if err != nil {
		return v
	}
	return b
}
