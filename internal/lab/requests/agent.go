package requests

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/request"
)

// agent is one incarnation of an agent process, without its packet path unless daemon is set.
type agent struct {
	name    string
	target  *target
	server  *request.Server
	callers net.Listener
	control net.Listener
	flows   atomic.Int64
	leaving atomic.Bool
	// daemon replaces the server and the listeners in a run with real daemons.
	daemon Daemon

	mu    sync.Mutex
	dead  bool
	conns map[net.Conn]struct{}
}

// startAgent listens on loopback and serves. It sets the target and the dial functions in o.
func startAgent(o request.Options, g *target) (*agent, error) {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{name: o.Agent, target: g, callers: callers, control: control, conns: make(map[net.Conn]struct{})}
	o.Target = g.addr
	o.DialTarget = a.dial
	o.DialPeer = a.dial
	a.server = request.New(o)
	go func() { _ = a.server.ServeControl(control) }()
	go a.accept()
	return a, nil
}

func (a *agent) accept() {
	for {
		c, err := a.callers.Accept()
		if err != nil {
			return
		}
		a.flows.Add(1)
		key := flow.Key{Source: addrPort(c.RemoteAddr()), Destination: addrPort(c.LocalAddr()), Protocol: flow.ProtocolTCP}
		go func() {
			defer a.flows.Add(-1)
			a.server.ServeFlow(context.Background(), c, key)
		}()
	}
}

func addrPort(a net.Addr) netip.AddrPort { return a.(*net.TCPAddr).AddrPort() }

// dial opens connections that kill closes; after kill it fails.
func (a *agent) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t := &agentConn{Conn: c, agent: a}
	a.conns[t] = struct{}{}
	return t, nil
}

// kill simulates the death of the process: goroutines may go on, but all connections and listeners are closed.
func (a *agent) kill() {
	if a.daemon != nil {
		a.daemon.Kill()
		return
	}
	a.mu.Lock()
	a.dead = true
	conns := a.conns
	a.conns = nil
	a.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	_ = a.callers.Close()
	_ = a.control.Close()
	_ = a.server.Close()
}
