package dsrd

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

// checkedAgent returns an agent on loopback whose target answers health checks as given.
func checkedAgent(t *testing.T, probe func() (id string, err error)) *Agent {
	cfg := settings.DefaultDSRAgent()
	cfg.Name, cfg.Service, cfg.DataCentre = "agent-1", "route-svc", "dc-1"
	cfg.PacketAddress, cfg.OutboundAddress, cfg.TargetAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:9"
	a, err := NewAgent(cfg, Platform{
		Codec: dsrtest.Codec{},
		Probe: func(context.Context, netip.AddrPort, string) (announcement.HealthCheck, error) {
			id, err := probe()
			return announcement.HealthCheck{ID: id}, err
		},
	}, telemetry.Env{Log: zerolog.Nop(), Scope: tally.NoopScope, Status: new(telemetry.Status)})
	require.NoError(t, err)
	t.Cleanup(func() {
		a.cancel()
		_ = a.packets.conn.Close()
		_ = a.outbound.conn.Close()
	})
	a.healthPath = "/health"
	return a
}

// ended reports whether the agent takes its target's process for ended.
func (a *Agent) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.TargetEnded()
}

// A deregistration was taken for the end of the process, which runs on when the answer to its call is lost.
func TestADeregisteredTargetHasEndedOnceItRefusesConnections(t *testing.T) {
	var checks atomic.Int32
	var early atomic.Bool
	var a *Agent
	a = checkedAgent(t, func() (string, error) {
		if a.ended() {
			early.Store(true)
		}
		if checks.Add(1) < 4 {
			return "", errors.New("status 503")
		}
		return "", os.NewSyscallError("connect", syscall.ECONNREFUSED)
	})
	require.NoError(t, a.Announce(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, Sequence: 1, State: announcement.Draining}))
	require.NoError(t, a.Left(announcement.Deregistration{ID: "i-1"}))
	require.False(t, a.ended())
	require.Eventually(t, a.ended, 10*time.Second, time.Millisecond)
	require.False(t, early.Load(), "it answered health checks")
	require.EqualValues(t, 4, checks.Load())
}

// A deregistered process that is heard of after a refused health check is checked again.
func TestADeregisteredTargetIsCheckedAgainWhenItReports(t *testing.T) {
	var checks atomic.Int32
	a := checkedAgent(t, func() (string, error) {
		checks.Add(1)
		return "", os.NewSyscallError("connect", syscall.ECONNREFUSED)
	})
	report := announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, Sequence: 1, State: announcement.Draining}
	require.NoError(t, a.Announce(report))
	require.NoError(t, a.Left(announcement.Deregistration{ID: "i-1"}))
	require.Eventually(t, a.ended, 10*time.Second, time.Millisecond)
	report.Sequence++
	require.NoError(t, a.Announce(report))
	require.False(t, a.ended())
	require.Eventually(t, a.ended, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 2, checks.Load())
}
