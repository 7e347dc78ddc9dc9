package request

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

const testKey = "order-7-of-marka-hall"

func TestClaimStoreFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults []storeFault
		status int
		run    refusal.Run
		hits   int32
	}{
		{"stored", nil, 200, "", 1},
		{"answer lost after the write", []storeFault{faultLostAfter}, 200, "", 1},
		{"answer lost before the write", []storeFault{faultLostBefore}, 200, "", 1},
		{"answer lost, first read fails", []storeFault{faultLostAfter, faultDown}, 200, "", 1},
		{"down", []storeFault{faultDown}, 503, "no", 0},
		{"answer lost, then down", []storeFault{faultLostAfter, faultDown, faultDown, faultDown}, 503, "no", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, responseOK)
			_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store = newMemoryStore(tt.faults...) })
			res, body := call(t, "POST", url, "order", HeaderKey, testKey)
			require.Equal(t, tt.status, res.StatusCode, body)
			require.Equal(t, string(tt.run), res.Header.Get(HeaderRun))
			require.Equal(t, tt.hits, target.hits.Load())
			if tt.run != "" {
				require.Equal(t, string(refusal.ReasonClaimStore), res.Header.Get(HeaderReason))
				require.NotEmpty(t, res.Header.Get("Retry-After"))
			}
		})
	}
}

// A claim may be stored although its request was refused. Its ticket never runs, so the next submission replaces it.
func TestRefusedClaimIsReplaced(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	store := newMemoryStore(faultLostAfter, faultDown, faultDown, faultDown)
	_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store = store })
	res, _ := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "1")
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	res, _ = call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "2")
	require.Equal(t, 200, res.StatusCode)
	res, _ = call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "1")
	require.Equal(t, "true", res.Header.Get(HeaderRepeated))
	require.EqualValues(t, 1, target.hits.Load())
}

// A submission with a lower attempt number must not start after a later one was refused as not run.
func TestOlderSubmissionNeverStartsAfterARefusal(t *testing.T) {
	target := newScriptedTarget(t, responseShed, responseOK)
	_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store = newMemoryStore() })
	res, _ := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "2")
	require.Equal(t, string(refusal.ReasonTargetShed), res.Header.Get(HeaderReason))
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	res, _ = call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "1")
	require.Equal(t, "no", res.Header.Get(HeaderRun))
	require.EqualValues(t, 1, target.hits.Load())
}

func TestRepeatedKeyWithoutStoreIsUnknown(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store = newMemoryStore(faultDown) })
	res, _ := call(t, "POST", url, "order", HeaderKey, testKey, HeaderAttempt, "2")
	require.Equal(t, "unknown", res.Header.Get(HeaderRun))
	require.Equal(t, "no", res.Header.Get(HeaderSubmission))
}

func TestClaimsStayWithinTheWriteBudget(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	store := newMemoryStore()
	_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store, o.ClaimRate = store, 0.001 })
	res, _ := call(t, "POST", url, "order", HeaderKey, testKey)
	require.Equal(t, 200, res.StatusCode)
	res, _ = call(t, "POST", url, "order", HeaderKey, testKey+"-next")
	require.Equal(t, string(refusal.ReasonClaimStore), res.Header.Get(HeaderReason))
	require.EqualValues(t, 1, store.version)
}

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	store := newMemoryStore()
	_, url := newFaultServer(t, target.addr(), func(o *Options) { o.Store = store })
	for _, end := range []string{"a", "b", "c"} {
		call(t, "POST", url, "order", HeaderKey, testKey+end)
	}
	now := time.Now()
	n, err := SweepClaims(context.Background(), store, now, time.Hour, 10)
	require.NoError(t, err)
	require.Zero(t, n)
	n, err = SweepClaims(context.Background(), store, now.Add(2*time.Hour), time.Hour, 2)
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.Len(t, store.objects, 1)
}

// A change of the claim rate keeps accumulated claims and applies the new rate from then on.
func TestClaimRateFollowsTheFleet(t *testing.T) {
	target := newScriptedTarget(t, responseOK)
	store := newMemoryStore()
	var now atomic.Int64
	now.Store(time.Now().UnixNano())
	clock := func() time.Time { return time.Unix(0, now.Load()) }
	s, url := newFaultServer(t, target.addr(), func(o *Options) {
		o.Store, o.ClaimRate, o.ClaimBurst, o.Now = store, 0.001, 2, clock
	})
	n := 0
	taken := func() bool {
		n++
		res, _ := call(t, "POST", url, "order", HeaderKey, fmt.Sprintf("%s-%d", testKey, n))
		if res.StatusCode == http.StatusOK {
			return true
		}
		require.Equal(t, string(refusal.ReasonClaimStore), res.Header.Get(HeaderReason))
		require.Equal(t, "no", res.Header.Get(HeaderRun))
		require.NotEmpty(t, res.Header.Get("Retry-After"))
		return false
	}
	require.True(t, taken())
	require.True(t, taken(), "the burst")
	require.False(t, taken())
	now.Add(int64(time.Second))
	require.False(t, taken(), "0.001 claims a second")
	s.SetClaimRate(1)
	require.False(t, taken(), "the second before the change counts at the old rate")
	now.Add(int64(time.Second))
	require.True(t, taken())
	require.False(t, taken())
	s.SetClaimRate(0.5)
	now.Add(int64(time.Second))
	require.False(t, taken())
	now.Add(int64(time.Second))
	require.True(t, taken())
	require.EqualValues(t, 4, store.version)
}
