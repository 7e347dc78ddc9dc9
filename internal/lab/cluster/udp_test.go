package cluster

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// udpFlow is one caller's UDP flow to an echoing service.
type udpFlow struct {
	t    *testing.T
	name string
	// service must answer, always by the same target.
	service, target string
	conn            net.Conn
	sent            int
}

func (l *streamLab) newUDPFlow(ip, name string) *udpFlow {
	l.t.Helper()
	service := routeService
	if ip == reportsIP || ip == reportsIP6 {
		service = reportsService
	}
	return &udpFlow{t: l.t, name: name, service: service, conn: mustDial(l.t, l.caller(ip), "udp", serviceAddress(ip, udpPort))}
}

// key is the five-tuple of the flow.
func (u *udpFlow) key() flow.Key {
	return flow.Key{
		Source:      netip.MustParseAddrPort(u.conn.LocalAddr().String()),
		Destination: netip.MustParseAddrPort(u.conn.RemoteAddr().String()),
		Protocol:    flow.ProtocolUDP,
	}
}

// ping sends a datagram until its echo is received. A datagram of another flow fails the test.
func (u *udpFlow) ping() {
	u.t.Helper()
	u.sent++
	text := fmt.Sprintf("%s #%d", u.name, u.sent)
	b := make([]byte, 2048)
	for range 40 {
		_, err := u.conn.Write([]byte(text))
		require.NoError(u.t, err)
		require.NoError(u.t, u.conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
		for {
			n, err := u.conn.Read(b)
			if err != nil {
				break
			}
			if u.check(b[:n]) == text {
				return
			}
		}
	}
	u.t.Fatalf("%s: no echo", text)
}

// check requires that a datagram belongs to the flow and returns its text.
func (u *udpFlow) check(b []byte) string {
	u.t.Helper()
	label, rest, ok := standin.CutLabel(b)
	require.True(u.t, ok, "%s got %q", u.name, b)
	require.True(u.t, strings.HasPrefix(string(rest), u.name+" #"), "%s got %q", u.name, b)
	require.Equal(u.t, u.service, label.Service)
	if u.target == "" {
		u.target = label.Target
	}
	require.Equal(u.t, u.target, label.Target, "%s changed its target", u.name)
	return string(rest)
}

// udpIdle starts an installation whose UDP flows end after the given idle time.
func udpIdle(t *testing.T, idle time.Duration) *streamLab {
	t.Helper()
	return newStreamLab(t, func(c *flows.ClusterConfig) {
		c.Service = func(s *resource.Service) {
			allAddresses(s)
			s.Spec.UDPIdle = resource.Duration(idle)
		}
	})
}

// newUDPFlows opens UDP flows of both services and IP versions.
func (l *streamLab) newUDPFlows(each int) []*udpFlow {
	l.t.Helper()
	var all []*udpFlow
	for i := range each {
		for _, ip := range []string{routeIP, routeIP6, reportsIP, reportsIP6} {
			all = append(all, l.newUDPFlow(ip, fmt.Sprintf("udp-%d-%s", i, ip)))
		}
	}
	return all
}

func pingAll(all []*udpFlow) {
	for _, u := range all {
		u.ping()
	}
}

// busiest returns the target of the route service with the most flows.
func (l *streamLab) busiest() *target {
	var busiest *target
	for _, x := range l.targetsOf(routeService) {
		if busiest == nil || x.daemon.Agent().OpenFlows() > busiest.daemon.Agent().OpenFlows() {
			busiest = x
		}
	}
	return busiest
}

// beginDrain starts to drain a target and returns when no balancer has it as active.
func (l *streamLab) beginDrain(x *target) {
	l.t.Helper()
	go func() { _ = l.c.DrainTarget(deadline(l.t), x.id) }()
	l.eventually("balancers see the drain", func() bool {
		for _, b := range l.c.Balancers() {
			if l.activeAt(b, x.id) {
				return false
			}
		}
		return true
	})
}

// TestUDPFlowsKeepTheirTargets sends datagrams through a killed balancer, a joining target and a draining one.
func TestUDPFlowsKeepTheirTargets(t *testing.T) {
	// The long idle time keeps flows from expiring on a slow machine.
	l := udpIdle(t, time.Hour)
	all := l.newUDPFlows(10)
	pingAll(all)
	pingAll(all)
	require.NoError(t, l.c.KillBalancer(l.c.Balancers()[0]))
	pingAll(all)
	_, err := l.c.JoinTarget(deadline(t), routeService)
	require.NoError(t, err)
	pingAll(all)
	leaving := l.busiest()
	open := leaving.daemon.Agent().OpenFlows()
	require.Positive(t, open)
	l.beginDrain(leaving)
	pingAll(all)
	pingAll(all)
	require.Equal(t, open, leaving.daemon.Agent().OpenFlows(), "a draining target keeps its flows")
	require.Empty(t, l.refusals())
}

func TestUDPFlowsEndByIdleTime(t *testing.T) {
	l := udpIdle(t, time.Second)
	all := l.newUDPFlows(4)
	pingAll(all)
	leaving := l.busiest()
	l.beginDrain(leaving)
	l.eventually("idle flows end", func() bool {
		for _, x := range append(l.targetsOf(routeService), l.targetsOf(reportsService)...) {
			if x.daemon.Agent().OpenFlows() > 0 {
				return false
			}
		}
		return true
	})
	for _, u := range all {
		u.target = ""
		u.ping()
		require.NotEqual(t, leaving.id, u.target, "a draining target took a new flow")
	}
	require.Empty(t, l.refusals())
}

func (l *streamLab) activeAt(balancer, target string) bool {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	for _, b := range l.c.balancers {
		if b.name == balancer {
			return b.seesActive(target)
		}
	}
	return false
}

// TestUDPFlowOfADeadTargetIsRecorded kills the target process of a UDP flow while its agent keeps running.
func TestUDPFlowOfADeadTargetIsRecorded(t *testing.T) {
	l := newStreamLab(t, func(c *flows.ClusterConfig) {
		c.Deployment.Services[1].Targets = 1
	})
	doomed := []*udpFlow{l.newUDPFlow(reportsIP, "doomed-4"), l.newUDPFlow(reportsIP6, "doomed-6")}
	for _, u := range doomed {
		u.ping()
		u.ping()
	}
	require.NoError(t, l.c.KillTarget(l.targetsOf(reportsService)[0].id))
	for _, u := range doomed {
		l.eventually("refusal record of "+u.name, func() bool {
			_, _ = u.conn.Write([]byte(u.name + " #0"))
			for _, r := range l.records(refusal.ReasonTargetDied) {
				if r.Caller == u.key().Source && r.Destination == u.key().Destination {
					return r.Run == refusal.RunUnknown && r.Service == reportsService
				}
			}
			return false
		})
	}
}
