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

// nobody is the URL of an object API that does not answer.
const nobody = "http://127.0.0.1:1"

// intruders returns the TLS files of processes that must be refused, by the reason.
func intruders(own *authority) map[string]settings.TLS {
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

// knownAnywhere reports whether a balancer of the installation holds a record of a process.
func (l *streamLab) knownAnywhere(id string) bool {
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

func TestProcessesWithoutValidCertificateStayOutside(t *testing.T) {
	own := newAuthority(t)
	until := time.Now().Add(time.Hour)
	l := newStreamLab(t, func(c *flows.ClusterConfig) {
		c.TLS = func(process string) settings.TLS { return own.issue(process, until) }
	})
	downloads := l.running(2, 2*time.Second)
	for name, files := range intruders(own) {
		mark := l.log.mark()
		agent := l.agentOutside("agent-"+name, files, l.c.controlAddrs())
		balancer := l.intrudingBalancer("balancer-"+name, files)
		l.eventually("refusal of "+name+" is logged", func() bool {
			return l.log.hasLine(mark, `"peer refused"`, `"op":"accept peer"`, `"process":"balancer-0`)
		})
		l.eventually("the agent has tried in vain", func() bool {
			return l.log.hasLine(mark, `"process":"agent-`+name, "no balancer answered")
		})
		misled := l.agentOutside("misled-"+name, own.issue("misled-"+name, until), []string{balancer.daemon.ControlAddr()})
		l.eventually("an agent refuses the balancer "+name, func() bool {
			return l.log.hasLine(mark, `"peer refused"`, `"op":"call peer"`, `"process":"misled-`+name)
		})
		require.Nil(t, misled.view.Load(), name)
		require.Nil(t, agent.view.Load(), name)
		require.Zero(t, balancer.daemon.Revision(), name)
		require.Nil(t, balancer.view.Load(), name)
		for _, m := range balancer.daemon.Members() {
			require.Equal(t, balancer.name, m.ID, "%s knows another process", name)
		}
		require.False(t, l.knownAnywhere(agent.id), name)
		require.False(t, l.knownAnywhere(balancer.name), name)
	}
	l.whole(downloads)
	require.Empty(t, l.refusals())
}

func announcementOf(service string) agentd.Announcement {
	return agentd.Announcement{Service: service, Slots: 2, Connections: 500}
}

// agentOutside starts an agent, beside those of the installation, that announces a target of the route service.
func (l *streamLab) agentOutside(id string, files settings.TLS, balancers []string) *target {
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

// intrudingBalancer starts a balancer that reaches its peers only, not the object API.
func (l *streamLab) intrudingBalancer(name string, files settings.TLS) *balancer {
	l.t.Helper()
	s := l.c.balancerSettings()
	s.Name, s.TLS, s.ObjectAPI.URL = name, files, nobody
	_, err := l.c.runBalancer(s)
	require.NoError(l.t, err)
	b, err := l.c.takeBalancer(name)
	require.NoError(l.t, err)
	l.fabric.RemoveBalancer(b.daemon.PacketAddr())
	l.t.Cleanup(b.daemon.Kill)
	return b
}
