package agent

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireCounts waits until the agent has counted the given numbers of flows.
func requireCounts(t *testing.T, a *Agent, ended, failed uint64) {
	t.Helper()
	eventually(t, func() bool {
		e, f := a.FlowCounts()
		return e == ended && f == failed
	}, "flows are counted")
}

func TestFlowsThatTheTargetFailsAreCounted(t *testing.T) {
	target := listenTCP(t, func(c *net.TCPConn) {
		defer c.Close()
		b := make([]byte, 4)
		for {
			if _, err := io.ReadFull(c, b); err != nil {
				return
			}
			if string(b) == "fail" {
				_ = c.SetLinger(0)
				return
			}
			_, _ = c.Write(b)
		}
	})
	l := newHarness(t, streamSpec(), target.Addr())
	a := l.agents[0]

	whole := l.mustDial(serviceIP)
	exchange(t, whole)
	requireCounts(t, a, 0, 0)
	require.NoError(t, whole.Close())
	requireCounts(t, a, 1, 0)

	broken := l.mustDial(serviceIP)
	_, err := broken.Write([]byte("fail"))
	require.NoError(t, err)
	_, err = broken.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
	requireCounts(t, a, 2, 1)

	cancelled := l.mustDial(serviceIP)
	exchange(t, cancelled)
	cancelled.(interface{ Abort() }).Abort()
	requireCounts(t, a, 3, 1)

	require.NoError(t, target.Close())
	_, err = l.dial(serviceIP)
	require.ErrorContains(t, err, "refused")
	requireCounts(t, a, 4, 2)
}
