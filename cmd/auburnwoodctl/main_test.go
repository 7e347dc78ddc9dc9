package main

import (
	"bytes"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/platform"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// recordRefusal stores the refusal of one flow as a balancer does and returns the record's ID.
func recordRefusal(t *testing.T, s objectapi.Store, flow uint64) string {
	l := refusal.NewLog(refusal.Config{Process: "balancer-1", Incarnation: 1, Store: s, Logger: zerolog.Nop(), Scope: tally.NoopScope})
	id := l.Record(refusal.Record{
		Service: "shop", Caller: netip.MustParseAddrPort("192.0.2.7:4001"), Destination: netip.MustParseAddrPort("198.51.100.1:80"),
		Flow: flow, Reason: refusal.ReasonAllFull, Run: refusal.RunNo, Revision: 3,
	})
	require.NoError(t, l.Drain(t.Context()))
	return id
}

func TestExplainReadsRecordsOfEitherProtocol(t *testing.T) {
	s := store.New(store.Config{})
	own := httptest.NewServer(store.Handler(s))
	defer own.Close()
	onPlatform := httptest.NewServer(platformtest.Handler(store.New(store.Config{})))
	defer onPlatform.Close()
	stores := map[ctl.Protocol]objectapi.Store{
		ctl.ProtocolObjectAPI: s,
		ctl.ProtocolPlatform:  platform.NewStore(onPlatform.URL, platform.StoreOptions{CallTimeout: objectapi.DefaultCallTimeout}),
	}
	urls := map[ctl.Protocol]string{ctl.ProtocolObjectAPI: own.URL, ctl.ProtocolPlatform: onPlatform.URL}
	for p, target := range stores {
		wanted := recordRefusal(t, target, 77)
		recordRefusal(t, target, 78)
		for _, by := range [][]string{{"--flow", "77"}, {"--id", wanted}} {
			var out, errs bytes.Buffer
			a := app()
			a.Stdout, a.Stderr = &out, &errs
			args := append([]string{"--protocol", string(p), "--server", urls[p], "-o", "json", "explain"}, by...)
			require.Equal(t, ctl.ExitOK, a.Main(t.Context(), args), "%s %s: %s", p, by, errs.String())
			require.Contains(t, out.String(), `"refusals": 1`, "%s %s", p, by)
			require.Contains(t, out.String(), wanted, "%s %s", p, by)
		}
	}
}
