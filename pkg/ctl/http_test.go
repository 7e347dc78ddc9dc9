package ctl

import (
	"bytes"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// TestOverHTTP runs the commands against an HTTP server, with refusal records written by a refusal.Log.
func TestOverHTTP(t *testing.T) {
	s := store.New(store.Config{WatchWait: time.Second})
	server := httptest.NewServer(objectapi.Handler(s))
	defer server.Close()
	t.Setenv("AUBURNWOOD_SERVER", server.URL)
	log := refusal.NewLog(refusal.Config{Process: "balancer-1", Incarnation: 1, Store: s})
	id := log.Record(refusal.Record{Caller: netip.MustParseAddrPort("192.0.2.7:999"), Service: "a", Reason: refusal.ReasonNoTarget, Run: refusal.RunNo})
	require.NoError(t, log.Drain(t.Context()))
	run := func(code int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		a := App{
			Stdout: &out,
			Stderr: &errs,
			Open: func(_ Protocol, url string, timeout time.Duration) objectapi.Store {
				return objectapi.NewClient(url, objectapi.Options{CallTimeout: timeout})
			},
			Refusals: func(s objectapi.Store) RefusalReader { return refusal.NewReader(s) },
			Now:      time.Now,
		}
		require.Equal(t, code, a.Main(t.Context(), args), "%s\n%s", out.String(), errs.String())
		return out.String()
	}
	path := file(t, service("a", "10.0.0.1", 1))
	run(ExitOK, "apply", path)
	require.Contains(t, run(ExitOK, "apply", path), "unchanged")
	require.Contains(t, run(ExitOK, "watch", "--count", "1"), "put  a")
	out := run(ExitOK, "explain", "--caller", "192.0.2.0/24", "--id", id)
	require.Contains(t, out, "no-target")
	require.Contains(t, out, "1 refusals in 1 records")
	require.Contains(t, run(ExitOK, "explain", "--caller", "192.0.3.0/24"), "no refusals found")
	run(ExitOK, "delete", "a")
	server.Close()
	run(ExitFailure, "get")
}
