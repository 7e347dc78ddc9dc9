package ctl

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// service returns a valid service at one address; its connection limit identifies the writer.
func service(name, ip string, writer uint32) resource.Service {
	return resource.Service{Name: name, Spec: resource.ServiceSpec{
		Addresses:  []resource.Address{{IP: ip, Port: 80}},
		Mode:       resource.ModeStream,
		Preference: resource.PreferFlows,
		Limits:     resource.Limits{Connections: writer},
	}}
}

// hookStore is a store that runs hooks around the first write and injects faults into it and into later reads.
type hookStore struct {
	objectapi.Store
	before, after func()
	// loseAnswer replaces the answer of the write with ErrOutcomeUnknown.
	loseAnswer bool
	// writeErr fails the write before it takes effect; readErr fails reads after the write.
	writeErr, readErr error
	writes            int
}

func (h *hookStore) around(write func() (objectapi.Object, error)) (objectapi.Object, error) {
	h.writes++
	if h.writes > 1 {
		return write()
	}
	if h.before != nil {
		h.before()
	}
	if h.writeErr != nil {
		return objectapi.Object{}, h.writeErr
	}
	o, err := write()
	if h.after != nil {
		h.after()
	}
	if h.loseAnswer {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return o, err
}

func (h *hookStore) Create(ctx context.Context, kind objectapi.Kind, name string, v []byte) (objectapi.Object, error) {
	return h.around(func() (objectapi.Object, error) { return h.Store.Create(ctx, kind, name, v) })
}

func (h *hookStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	return h.around(func() (objectapi.Object, error) { return h.Store.Update(ctx, o) })
}

func (h *hookStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if h.writes > 0 && h.readErr != nil {
		return objectapi.Object{}, h.readErr
	}
	return h.Store.Get(ctx, kind, name)
}

// storedLimit returns the writer of the stored service, or 0 when there is none.
func storedLimit(t *testing.T, s objectapi.Store, name string) uint32 {
	t.Helper()
	o, err := s.Get(t.Context(), resource.KindService, name)
	if err != nil {
		require.ErrorIs(t, err, objectapi.ErrNotFound)
		return 0
	}
	var v resource.Service
	require.NoError(t, resource.Decode(o.Value, &v))
	return v.Spec.Limits.Connections
}

func TestApplierUnderFaults(t *testing.T) {
	const mine, theirs = 1, 2
	for _, c := range []struct {
		name string
		// exists stores the service beforehand; before and after run around the first write.
		exists        bool
		before, after func(apply, del func())
		loseAnswer    bool
		writeErr      error
		readErr       error
		retries       int
		action        Action
		err           error
		detail        string
		stored        uint32
	}{
		{name: "create", action: ActionCreated, stored: mine},
		{name: "replace", exists: true, action: ActionConfigured, stored: mine},
		{name: "create, answer lost", loseAnswer: true, action: ActionCreated, stored: mine, detail: "confirmed by reading back"},
		{name: "replace, answer lost", exists: true, loseAnswer: true, action: ActionConfigured, stored: mine, detail: "confirmed by reading back"},
		{name: "replace, write lost", exists: true, writeErr: objectapi.ErrOutcomeUnknown, action: ActionConfigured, stored: mine},
		{name: "answer lost, no reading back", loseAnswer: true, readErr: objectapi.ErrUnavailable, action: ActionUnknown, err: objectapi.ErrOutcomeUnknown, stored: mine},
		{name: "outage", writeErr: objectapi.ErrUnavailable, action: ActionFailed, err: objectapi.ErrUnavailable, detail: "nothing was written"},
		{name: "race to create", before: func(apply, _ func()) { apply() }, action: ActionConflict, err: objectapi.ErrConflict, stored: theirs, detail: "created the service as version"},
		{name: "race to replace", exists: true, before: func(apply, _ func()) { apply() }, action: ActionConflict, err: objectapi.ErrConflict, stored: theirs, detail: "replaced version"},
		{name: "deleted meanwhile", exists: true, before: func(_, del func()) { del() }, action: ActionConflict, err: objectapi.ErrConflict, detail: "deleted version"},
		{name: "race, retry", exists: true, before: func(apply, _ func()) { apply() }, retries: 1, action: ActionConfigured, stored: mine, detail: "overwrote version"},
		{name: "race, write lost", exists: true, before: func(apply, _ func()) { apply() }, writeErr: objectapi.ErrOutcomeUnknown, action: ActionConflict, err: objectapi.ErrConflict, stored: theirs, detail: "replaced version"},
		{name: "answer lost, replaced since", exists: true, after: func(apply, _ func()) { apply() }, loseAnswer: true, action: ActionUnknown, err: objectapi.ErrOutcomeUnknown, stored: theirs, detail: "may have been stored"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := store.New(store.Config{})
			other := Applier{Store: s}
			if c.exists {
				_, err := other.Apply(t.Context(), service("a", "10.0.0.1", 9))
				require.NoError(t, err)
			}
			run := func(f func(apply, del func())) func() {
				if f == nil {
					return nil
				}
				apply := func() {
					_, err := other.Apply(t.Context(), service("a", "10.0.0.1", theirs))
					require.NoError(t, err)
				}
				del := func() {
					_, err := Deleter{Store: s}.Delete(t.Context(), "a")
					require.NoError(t, err)
				}
				return func() { f(apply, del) }
			}
			h := &hookStore{Store: s, before: run(c.before), after: run(c.after), loseAnswer: c.loseAnswer, writeErr: c.writeErr, readErr: c.readErr}
			r, err := Applier{Store: h, Retries: c.retries}.Apply(t.Context(), service("a", "10.0.0.1", mine))
			if c.err == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, c.err)
			}
			require.Equal(t, c.action, r.Action, r.Detail)
			require.Contains(t, r.Detail, c.detail)
			require.Equal(t, c.stored, storedLimit(t, s, "a"))
		})
	}
}

func TestApplierDoesNotWriteEqualContent(t *testing.T) {
	s := store.New(store.Config{})
	value := []byte(`{ "spec": {"preference":"flows", "mode":"stream", "limits":{"connections":1}, "addresses":[{"ip":"10.0.0.1","port":80}]}, "name":"a"}`)
	o, err := s.Create(t.Context(), resource.KindService, "a", value)
	require.NoError(t, err)
	r, err := Applier{Store: s}.Apply(t.Context(), service("a", "10.0.0.1", 1))
	require.NoError(t, err)
	require.Equal(t, ApplyResult{Name: "a", Action: ActionUnchanged, Version: o.Version}, r)
}

// outageStore is a store whose first create has an unknown outcome and whose later creates fail as unavailable.
type outageStore struct {
	objectapi.Store
	writes int
}

func (o *outageStore) Create(context.Context, objectapi.Kind, string, []byte) (objectapi.Object, error) {
	o.writes++
	if o.writes == 1 {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return objectapi.Object{}, objectapi.ErrUnavailable
}

func TestApplierReportsUnknownWhenAnAnswerIsLost(t *testing.T) {
	// The first write may still take effect after the second has failed.
	r, err := Applier{Store: &outageStore{Store: store.New(store.Config{})}}.Apply(t.Context(), service("a", "10.0.0.1", 1))
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
	require.Equal(t, ActionUnknown, r.Action)
}

func TestApplierReportsUnknownWhenARestoreLosesTheWrite(t *testing.T) {
	s := store.New(store.Config{Era: 1})
	_, err := Applier{Store: s}.Apply(t.Context(), service("a", "10.0.0.1", 1))
	require.NoError(t, err)
	older := s.Snapshot()
	h := &hookStore{Store: s, loseAnswer: true, after: func() { s.Restore(older) }}
	r, err := Applier{Store: h}.Apply(t.Context(), service("a", "10.0.0.1", 2))
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
	require.Equal(t, ActionUnknown, r.Action)
	r, err = Applier{Store: s}.Apply(t.Context(), service("a", "10.0.0.1", 2))
	require.NoError(t, err)
	require.Equal(t, ActionConfigured, r.Action)
}

// TestRacingOperators applies different content concurrently while answers are lost. A write reported as stored must
// be in the history, and one reported as not stored must not.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(20) {
		s := store.New(store.Config{Seed: seed})
		s.SetFaults(store.Faults{LoseShare: 0.2, DropShare: 0.2, Jitter: 200 * time.Microsecond})
		const operators, rounds = 6, 5
		results := make([]ApplyResult, operators*rounds)
		var wg sync.WaitGroup
		for op := range operators {
			wg.Go(func() {
				for i := range rounds {
					n := op*rounds + i
					r, err := Applier{Store: s, Retries: op % 2}.Apply(t.Context(), service("a", "10.0.0.1", uint32(n+1)))
					if err == nil && r.Action != ActionCreated && r.Action != ActionConfigured {
						t.Errorf("no error, but %s", r.Action)
					}
					results[n] = r
				}
			})
		}
		wg.Wait()
		s.SetFaults(store.Faults{})
		history := storedWriters(t, s)
		for n, r := range results {
			writes := history[uint32(n+1)]
			switch r.Action {
			case ActionCreated, ActionConfigured:
				// Only a retry over another operator's change may store the same content twice.
				require.GreaterOrEqual(t, writes, 1, "seed %d writer %d: %+v", seed, n+1, r)
				require.LessOrEqual(t, writes, 1+(n/rounds)%2, "seed %d writer %d: %+v", seed, n+1, r)
			case ActionConflict, ActionFailed:
				require.Zero(t, writes, "seed %d writer %d: %+v", seed, n+1, r)
			case ActionUnknown:
				require.LessOrEqual(t, writes, 1+(n/rounds)%2)
			default:
				require.Fail(t, "unexpected action", "%+v", r)
			}
		}
	}
}

// storedWriters counts how often each writer's content was stored.
func storedWriters(t *testing.T, s objectapi.Store) map[uint32]int {
	t.Helper()
	events, _, err := s.Watch(t.Context(), resource.KindService, 0)
	require.NoError(t, err)
	out := make(map[uint32]int)
	for _, e := range events {
		var v resource.Service
		require.NoError(t, resource.Decode(e.Object.Value, &v), fmt.Sprint(e))
		out[v.Spec.Limits.Connections]++
	}
	return out
}

func TestDeleter(t *testing.T) {
	ctx := t.Context()
	s := store.New(store.Config{})
	_, err := Deleter{Store: s}.Delete(ctx, "a")
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	r, err := Applier{Store: s}.Apply(ctx, service("a", "10.0.0.1", 1))
	require.NoError(t, err)
	_, err = Deleter{Store: s, Version: r.Version + 1}.Delete(ctx, "a")
	require.ErrorIs(t, err, objectapi.ErrConflict)
	d, err := Deleter{Store: s, DryRun: true}.Delete(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, ActionDeleted, d.Action)
	require.EqualValues(t, 1, storedLimit(t, s, "a"))
	s.SetFaults(store.Faults{LoseNext: 1})
	d, err = Deleter{Store: s}.Delete(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "the answer was lost; the service is gone", d.Detail)
	require.Zero(t, storedLimit(t, s, "a"))
}
