package cluster

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// TestIPv6DownloadsOutliveDrainAndReplacedBalancer drains a target and replaces a balancer while downloads of both IP
// versions run.
func TestIPv6DownloadsOutliveDrainAndReplacedBalancer(t *testing.T) {
	l := newStreamLab(t, nil)
	const flowsEach = 6
	downloads := l.running(flowsEach, 3*time.Second)
	leaving := l.targetsOf(routeService)[0]
	go func() { _ = l.c.DrainTarget(deadline(t), leaving.id) }()
	balancer := l.c.Balancers()[0]
	_, err := l.c.JoinBalancer(deadline(t))
	require.NoError(t, err)
	require.NoError(t, l.c.LeaveBalancer(deadline(t), balancer))
	require.NoError(t, l.c.KillBalancer(l.c.Balancers()[0]))
	downloads = append(downloads, l.running(2, time.Second)...)
	l.requireComplete(downloads)
	l.eventually("the drained target's flows have ended", func() bool { return leaving.daemon.Agent().OpenFlows() == 0 })
	require.Empty(t, l.refusals())
}

func TestTargetSeesTheCallerByProxyProtocol(t *testing.T) {
	l := newStreamLab(t, func(c *flows.ClusterConfig) {
		c.Service = func(s *resource.Service) {
			allAddresses(s)
			s.Spec.ProxyProtocol = true
		}
		c.Target = func(c *standin.Config) { c.ProxyProtocol = true }
	})
	for _, ip := range []string{routeIP, routeIP6, reportsIP, reportsIP6} {
		service := routeService
		if ip == reportsIP || ip == reportsIP6 {
			service = reportsService
		}
		d := l.start(service, ip, "proxied-"+ip, 50_000, 50*time.Millisecond)
		host, port, err := net.SplitHostPort(d.header.Get(standin.HeaderCaller))
		require.NoError(t, err)
		require.Equal(t, d.caller.Addr().String(), host)
		require.NotEqual(t, "0", port)
		l.requireComplete([]*download{d})
	}
}
