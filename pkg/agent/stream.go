package agent

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/pires/go-proxyproto"

	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// stream is one TCP flow: the caller's connection and, for opaque bytes, the one to the target.
type stream struct {
	a      *Agent
	s      *service
	f      *openFlow
	mu     sync.Mutex
	caller *netstack.Conn
	target *net.TCPConn
	isCut  bool
	// died is set when the target's death was recorded.
	died bool
	// targetDone is set when the target has closed its sending side and lives.
	targetDone bool
}

// serveBytes dials the target first, so that a caller of a dead target gets a reset in place of a handshake.
func (st *stream) serveBytes(in netstack.ConnRequest) {
	target, err := st.a.dialTarget("tcp")
	if err != nil {
		st.record(refusal.ReasonTargetRefused, err.Error())
		st.a.counts.add(true)
		in.Reject()
		return
	}
	defer target.Close()
	if !st.setTarget(target.(*net.TCPConn)) {
		in.Ignore()
		return
	}
	if !st.open(in) {
		return
	}
	defer st.closeCaller()
	st.carry()
	st.a.counts.add(st.hasDied())
}

// carry carries the bytes of both connections until both have ended.
func (st *stream) carry() {
	if err := st.sendProxyHeader(); err != nil {
		st.targetDied("PROXY header: " + err.Error())
		return
	}
	st.copyBoth()
}

// hasDied reports whether the target's death was recorded.
func (st *stream) hasDied() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.died
}

// serveRequests hands the connection to the request handler.
func (st *stream) serveRequests(in netstack.ConnRequest) {
	if !st.open(in) {
		return
	}
	defer st.closeCaller()
	st.a.cfg.RequestHandler.ServeFlow(st.a.ctx, st.caller, st.f.key)
}

func (st *stream) open(in netstack.ConnRequest) bool {
	conn, err := in.Accept()
	if err != nil {
		st.a.deps.Log.Debug().Str("op", "accept").Uint64("flow", st.f.hash).Err(err).Send()
		return false
	}
	if !st.setCaller(conn.(*netstack.Conn)) {
		return false
	}
	st.a.sendAll(st.a.arbiter.Opened(st.a.deps.Now(), st.f.hash))
	return true
}

// closeCaller closes the caller's connection and waits until its last bytes are acknowledged: the flow is owned until
// then.
func (st *stream) closeCaller() {
	st.f.linger(st.caller.InTimeWait)
	_ = st.caller.Close()
	st.caller.WaitClosed(st.a.ctx)
}

func (st *stream) setCaller(c *netstack.Conn) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.caller = c
	if st.isCut {
		c.Abort()
	}
	return !st.isCut
}

func (st *stream) setTarget(c *net.TCPConn) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.target = c
	return !st.isCut
}

// cut resets both connections.
func (st *stream) cut() {
	st.mu.Lock()
	st.isCut = true
	caller, target := st.caller, st.target
	st.mu.Unlock()
	if caller != nil {
		caller.Abort()
	}
	if target != nil {
		_ = target.SetLinger(0)
		_ = target.Close()
	}
}

// targetDied records the target's death and resets the caller's connection, unless the flow was cut before.
func (st *stream) targetDied(detail string) {
	st.mu.Lock()
	again := st.isCut || st.died
	st.died = st.died || !again
	st.mu.Unlock()
	if again {
		return
	}
	st.a.metrics.targetDied.Inc(1)
	st.record(refusal.ReasonTargetDied, detail)
	st.cut()
}

func (st *stream) record(reason refusal.Reason, detail string) {
	st.a.record(st.s, st.f.key, st.f.hash, reason, detail, st.a.deps.Now())
}

func (st *stream) sendProxyHeader() error {
	if !st.s.Spec.ProxyProtocol {
		return nil
	}
	h := proxyproto.HeaderProxyFromAddrs(2, net.TCPAddrFromAddrPort(st.f.key.Source), net.TCPAddrFromAddrPort(st.f.key.Destination))
	_, err := h.WriteTo(st.target)
	return trace.Wrap(err)
}

// dialTarget opens a connection to the target.
func (a *Agent) dialTarget(network string) (net.Conn, error) {
	a.metrics.targetDials.Inc(1)
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.DialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, a.cfg.TargetAddress.String())
	if err != nil {
		a.metrics.targetFailures.Inc(1)
		err = trace.Wrap(err, "dial target %v", a.cfg.TargetAddress)
		a.targetDown(err)
		return nil, err
	}
	return conn, nil
}

// targetDown reports the target's death at most once a second, unless the agent itself is at its end.
func (a *Agent) targetDown(err error) {
	if a.ctx.Err() != nil || !a.probe.report(a.deps.Now()) {
		return
	}
	a.deps.Log.Warn().Str("op", "target-down").Err(err).Send()
	a.deps.OnTargetDown(err)
}
