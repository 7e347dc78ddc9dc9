package dsrd

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

func TestOnlyTheFirstBalancerDeletesOldRecords(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers []netip.AddrPort
		left  int
	}{{"alone", nil, 0}, {"behind another", []netip.AddrPort{firstAddress}, 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Config{})
				old := refusal.KindAt(time.Now().Add(-refusal.DefaultKeep - 2*time.Hour))
				_, err := s.Create(t.Context(), old, "batch", []byte("{}"))
				require.NoError(t, err)
				b := &Balancer{node: &node{self: selfAddress, platform: Platform{Store: s}, log: zerolog.Nop()}}
				ctx, cancel := context.WithTimeout(t.Context(), cleanupInterval+time.Minute)
				defer cancel()
				for _, a := range c.peers {
					b.balancers.MarkSeen(time.Now().Add(cleanupInterval), a)
				}
				require.ErrorIs(t, b.cleanUp(ctx), context.DeadlineExceeded)
				items, _, err := s.List(t.Context(), old)
				require.NoError(t, err)
				require.Len(t, items, c.left)
			})
		})
	}
}
