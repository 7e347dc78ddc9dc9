package storetest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Injector sets the faults of a store under test.
type Injector interface {
	// Refuse makes the store refuse every call until it is called with false.
	Refuse(on bool)
	// LoseAnswers lets the next n writes take effect and drops their responses.
	LoseAnswers(n int)
	// DropWrites drops all writes before they take effect until it is called with false.
	DropWrites(on bool)
	// ExpireWatches removes the events so far from the store's history.
	ExpireWatches()
	// Repeat makes every watch return up to n earlier events again.
	Repeat(n int)
}

// RunFaults tests the contract under faults against stores that newStore returns.
func RunFaults(t *testing.T, newStore func(t *testing.T) (objectapi.Store, Injector)) {
	for _, c := range writeFaults {
		for _, w := range writes {
			t.Run(c.name+"/"+w.name, func(t *testing.T) {
				s, in := newStore(t)
				old := create(t, s, "old", "one")
				c.inject(in)
				require.ErrorIs(t, w.run(t, s, old), c.want)
				in.Refuse(false)
				in.DropWrites(false)
				require.Equal(t, c.effect, w.took(t, s, old))
			})
		}
	}
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			s, in := newStore(t)
			c.run(t, s, in)
		})
	}
}

// writeFaults are the faults of a single write, the error that it must return and whether it takes effect.
var writeFaults = []struct {
	name   string
	inject func(Injector)
	want   error
	effect bool
}{
	{"Refused", func(in Injector) { in.Refuse(true) }, objectapi.ErrUnavailable, false},
	{"AnswerLost", func(in Injector) { in.LoseAnswers(1) }, objectapi.ErrOutcomeUnknown, true},
	{"WriteLost", func(in Injector) { in.DropWrites(true) }, objectapi.ErrOutcomeUnknown, false},
}

var writes = []struct {
	name string
	run  func(*testing.T, objectapi.Store, objectapi.Object) error
	took func(*testing.T, objectapi.Store, objectapi.Object) bool
}{
	{"Create", func(t *testing.T, s objectapi.Store, _ objectapi.Object) error {
		_, err := s.Create(t.Context(), kind, "new", []byte("two"))
		return err
	}, func(t *testing.T, s objectapi.Store, _ objectapi.Object) bool {
		return exists(t, s, "new")
	}},
	{"Update", func(t *testing.T, s objectapi.Store, old objectapi.Object) error {
		old.Value = []byte("two")
		_, err := s.Update(t.Context(), old)
		return err
	}, func(t *testing.T, s objectapi.Store, old objectapi.Object) bool {
		o, err := s.Get(t.Context(), kind, old.Name)
		require.NoError(t, err)
		return string(o.Value) == "two"
	}},
	{"Delete", func(t *testing.T, s objectapi.Store, old objectapi.Object) error {
		return s.Delete(t.Context(), kind, old.Name, old.Version)
	}, func(t *testing.T, s objectapi.Store, old objectapi.Object) bool {
		return !exists(t, s, old.Name)
	}},
}

var faultCases = []struct {
	name string
	run  func(*testing.T, objectapi.Store, Injector)
}{
	{"ReadsRefused", readsRefused},
	{"WatchExpired", watchExpired},
	{"CreateResolvedAfterLostAnswer", createAfterLostAnswer},
	{"UpdateResolvedAfterLostAnswer", updateAfterLostAnswer},
	{"UpdateResolvedThenReplaced", updateThenReplaced},
	{"UpdateResolvedLostToAnother", updateLostToAnother},
	{"UpdateResolvedWithoutHistory", updateWithoutHistory},
	{"InformerRelists", informerRelists},
}

func readsRefused(t *testing.T, s objectapi.Store, in Injector) {
	in.Refuse(true)
	_, err := s.Get(t.Context(), kind, "old")
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	_, _, err = s.List(t.Context(), kind)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	_, _, err = s.Watch(t.Context(), kind, 0)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
}

func watchExpired(t *testing.T, s objectapi.Store, in Injector) {
	o := create(t, s, "a", "1")
	create(t, s, "b", "2")
	in.ExpireWatches()
	_, _, err := s.Watch(t.Context(), kind, o.Version)
	require.ErrorIs(t, err, objectapi.ErrExpired)
}

func createAfterLostAnswer(t *testing.T, s objectapi.Store, in Injector) {
	in.LoseAnswers(2)
	o, err := objectapi.CreateResolved(t.Context(), s, kind, "a", []byte("mine"), "mine")
	require.NoError(t, err)
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, got, o)
}

func updateAfterLostAnswer(t *testing.T, s objectapi.Store, in Injector) {
	o := create(t, s, "a", "one")
	in.LoseAnswers(1)
	o.Value = []byte("mine")
	o, err := objectapi.UpdateResolved(t.Context(), s, o, "mine")
	require.NoError(t, err)
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, got, o)
}

// updateThenReplaced loses the response to an update that takes effect and is replaced before it is read back.
func updateThenReplaced(t *testing.T, s objectapi.Store, in Injector) {
	o := create(t, s, "a", "one")
	in.LoseAnswers(1)
	o.Value = []byte("mine")
	mine, err := objectapi.UpdateResolved(t.Context(), &replacingStore{Store: s, t: t}, o, "mine")
	require.NoError(t, err)
	require.Equal(t, "mine", string(mine.Value))
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, "theirs", string(got.Value))
	require.Greater(t, got.Version, mine.Version)
}

// updateLostToAnother drops an update before it takes effect, and another write replaces the object.
func updateLostToAnother(t *testing.T, s objectapi.Store, in Injector) {
	o := create(t, s, "a", "one")
	in.DropWrites(true)
	o.Value = []byte("mine")
	_, err := objectapi.UpdateResolved(t.Context(), &replacingStore{Store: s, t: t, before: func() { in.DropWrites(false) }}, o, "mine")
	require.ErrorIs(t, err, objectapi.ErrConflict)
	require.NotErrorIs(t, err, objectapi.ErrOutcomeUnknown)
}

// updateWithoutHistory checks that an update whose outcome cannot be determined is not reported as a conflict.
func updateWithoutHistory(t *testing.T, s objectapi.Store, in Injector) {
	o := create(t, s, "a", "one")
	in.LoseAnswers(1)
	o.Value = []byte("mine")
	_, err := objectapi.UpdateResolved(t.Context(), &replacingStore{Store: s, t: t, after: in.ExpireWatches}, o, "mine")
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
	require.ErrorIs(t, err, objectapi.ErrSuperseded)
	require.NotErrorIs(t, err, objectapi.ErrConflict)
}

// informerRelists checks that an informer's state is exact after expired watches and repeated events.
func informerRelists(t *testing.T, s objectapi.Store, in Injector) {
	in.Repeat(3)
	f := follow(t, s)
	a, b := create(t, s, "a", "1"), create(t, s, "b", "1")
	f.waitFor(map[string]uint64{"a": a.Version, "b": b.Version})
	in.ExpireWatches()
	require.NoError(t, s.Delete(t.Context(), kind, "a", a.Version))
	in.ExpireWatches()
	c := create(t, s, "c", "1")
	b.Value = []byte("2")
	b, err := s.Update(t.Context(), b)
	require.NoError(t, err)
	f.waitFor(map[string]uint64{"b": b.Version, "c": c.Version})
}

// replacingStore replaces an object by another value once, after the first update through it.
type replacingStore struct {
	objectapi.Store
	t             *testing.T
	before, after func()
	done          bool
}

func (r *replacingStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	out, err := r.Store.Update(ctx, o)
	if r.done {
		return out, err
	}
	r.done = true
	if r.before != nil {
		r.before()
	}
	got, e := r.Get(ctx, o.Kind, o.Name)
	require.NoError(r.t, e)
	got.Value = []byte("theirs")
	_, e = r.Store.Update(ctx, got)
	require.NoError(r.t, e)
	if r.after != nil {
		r.after()
	}
	return out, err
}

func exists(t *testing.T, s objectapi.Store, name string) bool {
	_, err := s.Get(t.Context(), kind, name)
	if err == nil {
		return true
	}
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	return false
}
