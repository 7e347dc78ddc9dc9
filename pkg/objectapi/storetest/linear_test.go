package storetest_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

const linearKind objectapi.Kind = "thing"

// regCall is a call on one object: a read, or an update under the condition of a version.
type regCall struct {
	update  bool
	version uint64
	value   string
}

// regResponse is the outcome as the caller sees it.
type regResponse struct {
	version           uint64
	value             string
	conflict, unknown bool
}

// regState is the state of the object; version 0 represents a version that no caller has seen yet.
type regState struct {
	version uint64
	value   string
}

var regModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{regState{}} },
	Step: func(state, in, out any) []any {
		var next []any
		for _, s := range regStep(state.(regState), in.(regCall), out.(regResponse)) {
			next = append(next, s)
		}
		return next
	},
}

// regStep returns the states that a call may lead to, none when the response is impossible.
func regStep(s regState, in regCall, out regResponse) []regState {
	seen := s.version != 0
	if !in.update {
		if s.value != out.value || seen && s.version != out.version {
			return nil
		}
		return []regState{{out.version, out.value}}
	}
	applies := !seen || s.version == in.version
	switch {
	case out.unknown && applies:
		return []regState{s, {0, in.value}}
	case out.unknown:
		return []regState{s}
	case out.conflict && seen && applies:
		return nil
	case out.conflict:
		return []regState{s}
	case !applies || out.version <= in.version:
		return nil
	}
	return []regState{{out.version, in.value}}
}

// updater is a way to update an object under test.
type updater func(ctx context.Context, s objectapi.Store, o objectapi.Object, token string) (objectapi.Object, error)

// unconditional ignores the version that the caller has read.
func unconditional(ctx context.Context, s objectapi.Store, o objectapi.Object, token string) (objectapi.Object, error) {
	now, err := s.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return now, err
	}
	o.Version = now.Version
	return objectapi.UpdateResolved(ctx, s, o, token)
}

// resending sends an update again after a lost response and mistakes a conflict with its own write for another's.
func resending(ctx context.Context, s objectapi.Store, o objectapi.Object, _ string) (objectapi.Object, error) {
	out, err := s.Update(ctx, o)
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		return s.Update(ctx, o)
	}
	return out, err
}

// TestLinearizable checks histories of concurrent updates under lost responses, and that the check rejects broken
// variants.
func TestLinearizable(t *testing.T) {
	const seeds = 20
	for _, c := range []struct {
		name   string
		update updater
		broken bool
	}{
		{"Resolved", objectapi.UpdateResolved, false},
		{"Unconditional", unconditional, true},
		{"Careless", resending, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			wrong := 0
			var n outcomes
			for seed := range uint64(seeds) {
				history := raceOf(t, seed, c.update)
				n.count(history)
				if !porcupine.CheckOperations(regModel.ToModel(), history) {
					wrong++
				}
			}
			t.Logf("histories=%d not_linearizable=%d updates: %+v", seeds, wrong, n)
			require.Equal(t, c.broken, wrong > 0)
			require.NotZero(t, n.won)
			require.NotZero(t, n.conflicts)
		})
	}
}

// outcomes counts the outcomes of updates.
type outcomes struct{ won, conflicts, unknown int }

func (n *outcomes) count(history []porcupine.Operation) {
	for _, op := range history {
		out := op.Output.(regResponse)
		switch {
		case !op.Input.(regCall).update:
		case out.unknown:
			n.unknown++
		case out.conflict:
			n.conflicts++
		default:
			n.won++
		}
	}
}

func raceOf(t *testing.T, seed uint64, update updater) []porcupine.Operation {
	var history []porcupine.Operation
	synctest.Test(t, func(t *testing.T) { history = race(t, seed, update) })
	return history
}

// race lets clients read and update one object concurrently and returns the history.
func race(t *testing.T, seed uint64, update updater) []porcupine.Operation {
	mem := store.New(store.Config{Seed: seed})
	_, err := mem.Create(t.Context(), linearKind, "a", nil)
	require.NoError(t, err)
	mem.SetFaults(store.Faults{Jitter: 30 * time.Millisecond, LoseShare: 0.25, DropShare: 0.15})
	h := &recorder{}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			for n := range 8 {
				o, err := h.get(t.Context(), client, mem)
				if err != nil {
					continue
				}
				token := fmt.Sprintf("%d-%d;", client, n)
				o.Value = []byte(token)
				h.update(t.Context(), client, mem, o, token, update)
			}
		})
	}
	wg.Wait()
	return h.operations
}

// recorder records calls and responses in the order of a shared counter.
type recorder struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *recorder) record(client int, in regCall, out regResponse, began int64) {
	op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: began, Return: h.clock.Add(1)}
	if out.unknown {
		op.Return = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

func (h *recorder) get(ctx context.Context, client int, s objectapi.Store) (objectapi.Object, error) {
	began := h.clock.Add(1)
	o, err := s.Get(ctx, linearKind, "a")
	if err == nil {
		h.record(client, regCall{}, regResponse{version: o.Version, value: string(o.Value)}, began)
	}
	return o, err
}

func (h *recorder) update(ctx context.Context, client int, s objectapi.Store, o objectapi.Object, token string, f updater) {
	began := h.clock.Add(1)
	in := regCall{update: true, version: o.Version, value: token}
	got, err := f(ctx, s, o, token)
	h.record(client, in, regResponse{
		version:  got.Version,
		conflict: errors.Is(err, objectapi.ErrConflict),
		unknown:  err != nil && !errors.Is(err, objectapi.ErrConflict),
	}, began)
}
