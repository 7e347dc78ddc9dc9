package objectapi

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Settings of CreateResolved and UpdateResolved.
const (
	resolveAttempts   = 8
	resolveBackoffMin = 50 * time.Millisecond
	resolveBackoffMax = 2 * time.Second
)

// ErrSuperseded accompanies ErrOutcomeUnknown when another write has replaced the object after a response was lost, and
// the history no longer shows whether the lost write took effect before that. If all writers keep the tokens of the
// values that they replace, it means that the write did not take effect.
var ErrSuperseded = errors.New("superseded by another write")

var errToken = errors.New("the value does not contain the token")

// CreateResolved creates an object and resolves a lost response: it looks for the token in the object, and creates the
// object again when it does not exist. The token must be unique to this write and part of the value. It returns
// ErrOutcomeUnknown only when the store does not answer in time, or with ErrSuperseded.
func CreateResolved(ctx context.Context, s Store, kind Kind, name string, value []byte, token string) (Object, error) {
	w := resolver{
		store: s,
		op:    OpCreate,
		in:    Object{Kind: kind, Name: name, Value: value},
		token: token,
		send:  func() (Object, error) { return s.Create(ctx, kind, name, value) },
	}
	return w.run(ctx)
}

// UpdateResolved updates an object and resolves a lost response: it looks for the token in the object and, when that was
// replaced since, in its history, and sends the update again while the version is unchanged. The token must be unique
// to this write and part of the value. It returns ErrConflict only when the write did not take effect, and
// ErrOutcomeUnknown only when the store does not answer in time, or with ErrSuperseded.
func UpdateResolved(ctx context.Context, s Store, o Object, token string) (Object, error) {
	w := resolver{
		store: s,
		op:    OpUpdate,
		in:    o,
		token: token,
		send:  func() (Object, error) { return s.Update(ctx, o) },
	}
	return w.run(ctx)
}

// resolver performs one write and retries until its outcome is known.
type resolver struct {
	store Store
	op    Op
	in    Object
	token string
	send  func() (Object, error)
	// maybeApplied is set when an earlier attempt may have taken effect.
	maybeApplied bool
}

func (w *resolver) run(ctx context.Context) (Object, error) {
	if w.token == "" || !bytes.Contains(w.in.Value, []byte(w.token)) {
		return Object{}, w.fail(ErrInvalid, errToken)
	}
	backoff := Backoff{Min: resolveBackoffMin, Max: resolveBackoffMax}
	var last error
	for range resolveAttempts {
		o, err, done := w.attempt(ctx)
		if done {
			return o, err
		}
		last = err
		if wait.For(ctx, backoff.Next()) != nil {
			break
		}
	}
	return Object{}, w.fail(ErrOutcomeUnknown, last)
}

// attempt sends the write once and reports whether the outcome is known. After a lost response it reads first, which is
// cheaper for the store than a write.
func (w *resolver) attempt(ctx context.Context) (Object, error, bool) { //nolint:staticcheck // done qualifies both.
	if w.maybeApplied {
		o, err, again := w.readBack(ctx)
		if !again {
			return o, err, err == nil || !errors.Is(err, ErrUnavailable)
		}
	}
	o, err := w.send()
	if err == nil {
		return o, nil, true
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		w.maybeApplied = true
		return Object{}, err, false
	}
	if !w.maybeApplied {
		return Object{}, err, true
	}
	// A conflict may be with an earlier attempt that took effect late; the next read back resolves it.
	return Object{}, err, !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnavailable)
}

// readBack looks for the token after a lost response. again is set when the write has not taken effect so far.
func (w *resolver) readBack(ctx context.Context) (o Object, err error, again bool) { //nolint:staticcheck // As above.
	o, err = w.store.Get(ctx, w.in.Kind, w.in.Name)
	absent := errors.Is(err, ErrNotFound)
	switch {
	case err != nil && !absent:
		return Object{}, err, false
	case absent && w.op == OpCreate:
		return Object{}, nil, true
	case absent:
		o, err = w.fromHistory(ctx)
		return o, err, false
	case bytes.Contains(o.Value, []byte(w.token)):
		return o, nil, false
	case w.op == OpCreate:
		return Object{}, w.fail(ErrOutcomeUnknown, ErrSuperseded), false
	case o.Version == w.in.Version:
		return Object{}, nil, true
	}
	o, err = w.fromHistory(ctx)
	return o, err, false
}

// fromHistory finds the first change of the object after the version of the condition: only that one can be this write.
func (w *resolver) fromHistory(ctx context.Context) (Object, error) {
	events, _, err := w.store.Watch(ctx, w.in.Kind, w.in.Version)
	if errors.Is(err, ErrExpired) {
		return Object{}, w.fail(ErrOutcomeUnknown, ErrSuperseded)
	}
	if err != nil {
		return Object{}, err
	}
	for _, e := range events {
		if e.Object.Name != w.in.Name || e.Object.Version <= w.in.Version {
			continue
		}
		if e.Type == EventPut && bytes.Contains(e.Object.Value, []byte(w.token)) {
			return e.Object, nil
		}
		return Object{}, w.fail(ErrConflict, nil)
	}
	return Object{}, w.fail(ErrOutcomeUnknown, ErrSuperseded)
}

func (w *resolver) fail(err, cause error) error {
	return NewCallError(w.op, w.in.Kind, w.in.Name, "resolve", err, cause)
}
