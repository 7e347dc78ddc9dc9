package request

import (
	"encoding/json"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// restoredClaims is an object API that can be restored from an older copy, with a client for agents that make claims.
type restoredClaims struct {
	*testing.T
	store  *store.Store
	eras   *objectapi.Eras
	client objectapi.Store
	// clockOffset is how far the agents' clock is ahead, in nanoseconds.
	clockOffset atomic.Int64
}

func newRestoredClaims(t *testing.T, era uint64) *restoredClaims {
	s := store.New(store.Config{Era: era})
	srv := httptest.NewServer(store.Handler(s))
	t.Cleanup(srv.Close)
	r := &restoredClaims{T: t, store: s, eras: objectapi.NewEras()}
	r.client = objectapi.NewClient(srv.URL, objectapi.Options{Eras: r.eras})
	return r
}

// now is the agents' clock.
func (r *restoredClaims) now() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) }

// options sets the options of an agent that uses the object API.
func (r *restoredClaims) options(o *Options) {
	o.Store, o.Eras = r.client, r.eras
	o.Now = r.now
	o.TicketLifetime = time.Hour
}

// publishEra stores the start of the object API's era, as the holder of the compile lease does.
func (r *restoredClaims) publishEra(since time.Time) {
	b, err := json.Marshal(resource.Era{Era: r.store.Era(), Since: since})
	require.NoError(r, err)
	if o, err := r.store.Get(r.Context(), resource.KindEra, resource.EraName); err == nil {
		o.Value = b
		_, err = r.store.Update(r.Context(), o)
		require.NoError(r, err)
		return
	}
	_, err = r.store.Create(r.Context(), resource.KindEra, resource.EraName, b)
	require.NoError(r, err)
}

func TestAKeyDoesNotRunAgainWhenItsClaimIsLost(t *testing.T) {
	for _, c := range []struct {
		name    string
		era     uint64
		attempt string
		run     refusal.Run
	}{
		{"a counted repeat", 1, "2", refusal.RunUnknown},
		{"a repeat that is not counted", 1, "", refusal.RunNo},
		{"the first submission, late", 1, "1", refusal.RunNo},
		{"the first named era", 0, "2", refusal.RunUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRestoredClaims(t, c.era)
			if c.era > 0 {
				r.publishEra(time.Time{})
			}
			older := r.store.Snapshot()
			target := newScriptedTarget(t, responseOK)
			_, url := newFaultServer(t, target.addr(), r.options)
			res, body := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "2")
			require.Equal(t, 200, res.StatusCode, body)
			r.store.Restore(older)
			other := newScriptedTarget(t, responseOK)
			_, second := newFaultServer(t, other.addr(), r.options)
			for range 3 {
				res, body = call(t, "POST", second, "order", HeaderKey, testKey, HeaderAttempt, c.attempt)
				require.Equal(t, 503, res.StatusCode, body)
				require.Equal(t, string(refusal.ReasonClaimStore), res.Header.Get(HeaderReason))
				require.Equal(t, string(c.run), res.Header.Get(HeaderRun))
				r.publishEra(r.now())
			}
			require.Zero(t, other.hits.Load())
			list, _, err := r.store.List(t.Context(), resource.KindClaim)
			require.NoError(t, err)
			require.Empty(t, list, "the refused submissions bind the key to nothing")
		})
	}
}

func TestAClaimThatIsNotLostHoldsInTheNextEra(t *testing.T) {
	r := newRestoredClaims(t, 1)
	r.publishEra(time.Time{})
	target := newScriptedTarget(t, responseOK)
	_, url := newFaultServer(t, target.addr(), r.options)
	res, _ := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "1")
	require.Equal(t, 200, res.StatusCode)
	r.store.Restore(r.store.Snapshot())
	res, body := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "2")
	require.Equal(t, 200, res.StatusCode, body)
	require.Equal(t, "true", res.Header.Get(HeaderRepeated))
	require.EqualValues(t, 1, target.hits.Load())
}

func TestNewKeysRunAgainAfterARestore(t *testing.T) {
	for _, c := range []struct {
		attempt string
		wait    time.Duration
	}{{"1", firstAttemptQuarantine}, {"2", restoreQuarantine}, {"", restoreQuarantine}} {
		r := newRestoredClaims(t, 1)
		r.publishEra(time.Time{})
		target := newScriptedTarget(t, responseOK)
		_, url := newFaultServer(t, target.addr(), r.options)
		older := r.store.Snapshot()
		r.store.Restore(older)
		r.publishEra(r.now())
		res, _ := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, c.attempt)
		require.Equal(t, 503, res.StatusCode)
		r.clockOffset.Add(int64(c.wait))
		res, body := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, c.attempt)
		require.Equal(t, 200, res.StatusCode, body)
	}
}
