package agent

import (
	"net"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// acceptTCP serves the flow of one opening segment that the arbiter delivered; each call runs in its own goroutine.
func (a *Agent) acceptTCP(in netstack.ConnRequest) {
	f := a.registry.get(in.Key.Hash())
	s := a.service.Load()
	if f == nil || s == nil || !a.begin() {
		in.Ignore()
		return
	}
	defer a.flows.Done()
	st := &stream{a: a, s: s, f: f}
	if !f.serve(st.cut) {
		in.Ignore()
		return
	}
	defer a.end(f)
	if s.Spec.Mode == resource.ModeRequest && a.cfg.RequestHandler != nil {
		st.serveRequests(in)
		return
	}
	st.serveBytes(in)
}

// acceptUDP starts serving a new UDP flow. It is called by Inject and doesn't block.
func (a *Agent) acceptUDP(key flow.Key, conn net.Conn) {
	f := a.registry.get(key.Hash())
	s := a.service.Load()
	if f == nil || s == nil {
		_ = conn.Close()
		return
	}
	u := &datagrams{a: a, s: s, f: f, caller: conn}
	if !f.serve(u.cut) || !a.begin() {
		_ = conn.Close()
		return
	}
	go func() {
		defer a.flows.Done()
		defer a.end(f)
		u.serve()
	}()
}

// begin registers a goroutine that serves a flow with a.flows; it returns false when the agent has been killed.
func (a *Agent) begin() bool {
	a.flowsMu.Lock()
	defer a.flowsMu.Unlock()
	if a.ctx.Err() != nil {
		return false
	}
	a.flows.Add(1)
	return true
}
