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
	// died is set once the failure of the target was recorded.
	died bool
	// targetDone is set when the target has closed its sending side while it was up.
	targetDone bool
}

// serveBytes proxies an opaque byte stream. It dials the target before it accepts the caller's connection, so that a
// caller gets a reset instead of a handshake when the target is down.
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
	st.proxy()
	st.a.counts.add(st.hasDied())
}

// proxy sends the PROXY header if the service asks for it, then copies bytes until both connections have ended.
func (st *stream) proxy() {
	if err := st.sendProxyHeader(); err != nil {
		st.targetDied("PROXY header: " + err.Error())
		return
	}
	st.copyBoth()
}

// hasDied reports whether a failure of the target was recorded.
func (st *stream) hasDied() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.died
}

// serveRequests passes the caller's connection to the request handler.
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

// closeCaller closes the caller's connection and waits until its last bytes are acknowledged; the agent owns the flow
// until then.
func (st *stream) closeCaller() {
	st.f.setLingers(st.caller.InTimeWait)
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

// targetDied records the failure of the target and resets both connections, unless the flow was cut before.
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

// dialTarget opens a connection to the target within the dial timeout. It reports a target that can't be reached.
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

// targetDown reports that the target is down, at most once per targetDownInterval, unless the agent itself is stopping.
func (a *Agent) targetDown(err error) {
	if a.ctx.Err() != nil || !a.probe.shouldReport(a.deps.Now()) {
		return
	}
	a.deps.Log.Warn().Str("op", "target-down").Err(err).Send()
	a.deps.OnTargetDown(err)
}
