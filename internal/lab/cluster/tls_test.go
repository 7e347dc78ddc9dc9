package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

// unreachableAPI is the URL of an object API that does not answer.
const unreachableAPI = "http://127.0.0.1:1"

// invalidIdentities returns, by reason, the TLS files of processes that must be refused.
func invalidIdentities(own *authority) map[string]settings.TLS {
	other := newAuthority(own.t)
	foreign := other.issue("foreign", time.Now().Add(time.Hour))
	foreign.CA = own.ca
	return map[string]settings.TLS{
		"plain":    {},
		"foreign":  foreign,
		"stranger": other.issue("stranger", time.Now().Add(time.Hour)),
		"expired":  own.issue("expired", time.Now().Add(-time.Hour)),
	}
}

// isMemberAnywhere reports whether a balancer of the installation has a process as a member.
func (l *streamLab) isMemberAnywhere(id string) bool {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	for _, b := range l.c.balancers {
		for _, m := range b.daemon.Members() {
			if m.ID == id {
				return true
			}
		}
	}
	return false
}

func TestProcessesWithoutValidCertificateRejected(t *testing.T) {
	own := newAuthority(t)
	until := time.Now().Add(time.Hour)
	l := newStreamLab(t, func(c *flows.ClusterConfig) {
		c.TLS = func(process string) settings.TLS { return own.issue(process, until) }
	})
	downloads := l.running(2, 2*time.Second)
	for name, files := range invalidIdentities(own) {
		mark := l.log.mark()
		agent := l.startOutsideAgent("agent-"+name, files, l.c.controlAddrs())
		balancer := l.startOutsideBalancer("balancer-"+name, files)
		l.eventually("refusal of "+name+" is logged", func() bool {
			return l.log.hasLine(mark, `"peer refused"`, `"op":"accept peer"`, `"process":"balancer-0`)
		})
		l.eventually("the agent gives up on the balancers", func() bool {
			return l.log.hasLine(mark, `"process":"agent-`+name, "no balancer answered")
		})
		misled := l.startOutsideAgent("misled-"+name, own.issue("misled-"+name, until), []string{balancer.daemon.ControlAddr()})
		l.eventually("an agent refuses the balancer "+name, func() bool {
			return l.log.hasLine(mark, `"peer refused"`, `"op":"call peer"`, `"process":"misled-`+name)
		})
		require.Nil(t, misled.view.Load(), name)
		require.Nil(t, agent.view.Load(), name)
		require.Zero(t, balancer.daemon.Revision(), name)
		require.Nil(t, balancer.view.Load(), name)
		for _, m := range balancer.daemon.Members() {
			require.Equal(t, balancer.name, m.ID, "%s has another process as a member", name)
		}
		require.False(t, l.isMemberAnywhere(agent.id), name)
		require.False(t, l.isMemberAnywhere(balancer.name), name)
	}
	l.requireComplete(downloads)
	require.Empty(t, l.refusals())
}

func announcementOf(service string) agentd.Announcement {
	return agentd.Announcement{Service: service, Slots: 2, Connections: 500}
}

// startOutsideAgent starts an agent that is not part of the installation and announces a target of the route service.
func (l *streamLab) startOutsideAgent(id string, files settings.TLS, balancers []string) *target {
	l.t.Helper()
	st, err := standin.Start(standin.Config{Service: routeService, ID: id}, nil)
	require.NoError(l.t, err)
	s := l.c.agentSettings(id, 0, st.Addr())
	s.TLS, s.Balancers = files, balancers
	x, err := l.c.runAgent(s, st)
	require.NoError(l.t, err)
	l.t.Cleanup(x.kill)
	a := announcementOf(routeService)
	require.NoError(l.t, announce(deadline(l.t), x.daemon.AnnounceAddr(), a))
	return x
}

// startOutsideBalancer starts a balancer that can reach its peers but not the object API, and gets no packets.
func (l *streamLab) startOutsideBalancer(name string, files settings.TLS) *balancer {
	l.t.Helper()
	s := l.c.balancerSettings()
	s.Name, s.TLS, s.ObjectAPI.URL = name, files, unreachableAPI
	_, err := l.c.runBalancer(s)
	require.NoError(l.t, err)
	b, err := l.c.removeBalancer(name)
	require.NoError(l.t, err)
	l.fabric.RemoveBalancer(b.daemon.PacketAddr())
	l.t.Cleanup(b.daemon.Kill)
	return b
}
