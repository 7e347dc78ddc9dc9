package dsrd

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
)

// If all balancers read the object API when all restart, the calls of that moment grow with their number; if none does,
// callers wait.
func TestAFewBalancersReadAtOnceWhenAllRestart(t *testing.T) {
	for _, n := range []int{1, 4, firstReaders, 59, 304, 3000} {
		all := unreachable(n)
		// All get the same part of a long list.
		sample := all[:min(n, 200)]
		readers := 0
		for _, a := range all {
			if isFirstReader(a, sample) {
				readers++
			}
		}
		require.Equal(t, min(n, firstReaders), readers, "%d balancers", n)
	}
	require.True(t, isFirstReader(selfAddress, nil), "none has registered yet")
}

func TestBalancersOfTheSettingsReadAtOnce(t *testing.T) {
	for _, c := range []struct {
		reason string
		seeds  []netip.AddrPort
		is     bool
	}{
		{"no other can be asked", nil, true},
		{"only itself", []netip.AddrPort{selfAddress}, true},
		{"one of several", []netip.AddrPort{firstAddress, selfAddress}, true},
		{"others", []netip.AddrPort{firstAddress}, false},
	} {
		require.Equal(t, c.is, isSeed(selfAddress, c.seeds), c.reason)
	}
}

func TestTheFirstReadDoesNotWaitForeverForTheDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		r := newFirstRead()
		r.await(t.Context())
		require.Equal(t, startWait, time.Since(began))
		require.False(t, r.isFirst())
		r.decide(true)
		r.decide(false)
		r.await(t.Context())
		require.Equal(t, startWait, time.Since(began))
		require.True(t, r.isFirst())
		ctx, stop := context.WithCancel(t.Context())
		stop()
		newFirstRead().await(ctx)
		require.Equal(t, startWait, time.Since(began))
	})
}

// A balancer without a configuration serves nobody, and the next regular message to it may be far off.
func TestABalancerWithoutAConfigurationIsToldAtOnce(t *testing.T) {
	peer := newListener(t)
	b := testBalancer(t)
	now := b.started
	b.balancers.MarkSeen(now, peer.address())
	b.balancers.Due(now)
	b.tellStarting(now, peer.address(), 0)
	require.Empty(t, peer.received(), "this one has none either")
	b.configSync.inForce.Version = 9
	b.tellStarting(now, peer.address(), 0)
	require.Empty(t, peer.received(), "it could not use the configuration without the evacuations")
	b.core.SetEvacuations(now, evacuation.FromMembers(3, nil))
	b.tellStarting(now, peer.address(), 8)
	require.Empty(t, peer.received())
	b.tellStarting(now, peer.address(), 0)
	told := peer.received()
	require.Len(t, told, 1)
	require.EqualValues(t, 9, told[0].Configuration)
	require.NotNil(t, told[0].Evacuations)
}
