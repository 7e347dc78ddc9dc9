package agentd

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/request"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// requests serves an agent's flows in request mode. Its server starts with the first view in that mode.
type requests struct {
	d         *Daemon
	announced Announcement
	service   atomic.Pointer[view.Service]
	peers     atomic.Pointer[peerTable]

	mu       sync.Mutex
	server   *request.Server
	agents   uint32
	draining bool
	closed   bool
}

// ServeFlow implements agent.StreamHandler.
func (r *requests) ServeFlow(ctx context.Context, conn net.Conn, key flow.Key) {
	s := r.current()
	if s == nil {
		_ = conn.Close()
		return
	}
	s.ServeFlow(ctx, conn, key)
}

func (r *requests) current() *request.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server
}

// setService applies a view of the agent's service. It starts the server if the service is in request mode.
func (r *requests) setService(v *view.Service) {
	r.service.Store(v)
	r.peers.Store(newPeerTable(v, r.d.o.Settings.Name))
	if v.Spec.Mode != resource.ModeRequest {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if r.server != nil {
		r.applyLimits(v)
		return
	}
	r.start(v)
}

// start starts the server. The caller holds r.mu.
func (r *requests) start(v *view.Service) {
	s := request.New(r.options(v))
	r.server = s
	r.applyLimits(v)
	if r.d.control != nil {
		go func() { _ = s.ServeControl(r.d.control) }()
	}
	if r.draining {
		r.startDrain(s)
	}
}

// applyLimits applies the view's limits and evacuations to the server. The caller holds r.mu.
func (r *requests) applyLimits(v *view.Service) {
	r.server.SetLimits(r.slots(v), deadlineOf(v))
	r.server.SetQueue(int(v.Spec.Limits.Queue))
	r.server.SetEvacuated(slices.Contains(v.Spec.Evacuated, r.d.o.Settings.DataCentre))
}

// setAgents applies the fleet's number of live agents, by which the claim rate is divided.
func (r *requests) setAgents(agents uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = agents
	if r.server != nil {
		r.server.SetClaimRate(claimRate(r.d.o.Settings.ObjectAPI.CallsPerSecond, agents))
	}
}

// slots returns the announced slots, at most the service's limit.
func (r *requests) slots(v *view.Service) int {
	slots := r.announced.Slots
	if v.Spec.Limits.Slots > 0 {
		slots = min(slots, v.Spec.Limits.Slots)
	}
	return int(slots)
}

func deadlineOf(v *view.Service) time.Duration {
	return v.Spec.Limits.Deadline.Or(resource.DefaultDeadline)
}

func (r *requests) options(v *view.Service) request.Options {
	s := r.d.o.Settings
	// The settings were validated, so the address parses.
	target, _ := netip.ParseAddrPort(s.TargetAddress)
	eras := objectapi.NewEras()
	return request.Options{
		Agent:       s.Name,
		Incarnation: r.d.o.Incarnation,
		Service:     v.Name,
		Target:      target,
		Slots:       r.slots(v),
		Queue:       int(v.Spec.Limits.Queue),
		Cold:        v.Spec.SlowStart > 0,
		Deadline:    deadlineOf(v),
		Store:       r.store(eras),
		Eras:        eras,
		ClaimRate:   claimRate(s.ObjectAPI.CallsPerSecond, r.agents),
		ClaimBurst:  ClaimBurst,
		Peers:       r,
		DialPeer:    r.dialPeer(),
		Revision:    r.revision,
		Recorder:    r.d.refusals,
		Log:         r.d.o.Env.Log,
		Metrics:     r.d.o.Env.Scope,
	}
}

// dialPeer returns the dial function for other agents: TLS if configured, else nil for plain TCP.
func (r *requests) dialPeer() request.DialFunc {
	if r.d.tls == nil {
		return nil
	}
	return (&peerDialer{config: r.d.tls, log: r.d.o.Env.Log}).DialContext
}

// store returns the object API client for claims; nil when the settings give no URL.
func (r *requests) store(eras *objectapi.Eras) objectapi.Store {
	s := r.d.o.Settings.ObjectAPI
	if s.URL == "" {
		return nil
	}
	client := objectapi.NewClient(s.URL, objectapi.Options{CallTimeout: s.Timeout.Duration(), Eras: eras})
	return objectapi.NewBudgeted(client, objectapi.BudgetConfig{
		Rate: s.CallsPerSecond, Burst: s.Burst, Scope: r.d.o.Env.Scope,
	})
}

func (r *requests) revision() uint64 {
	if v := r.service.Load(); v != nil {
		return v.Revision
	}
	return 0
}

// Candidates implements request.Peers.
func (r *requests) Candidates() []request.Peer {
	if t := r.peers.Load(); t != nil {
		return t.candidates
	}
	return nil
}

// Find implements request.Peers.
func (r *requests) Find(agent string) (request.Peer, bool) {
	t := r.peers.Load()
	if t == nil {
		return request.Peer{}, false
	}
	p, ok := t.all[agent]
	return p, ok
}

// drain stops new requests; running ones are still answered.
func (r *requests) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.server != nil {
		r.startDrain(r.server)
	}
}

func (r *requests) startDrain(s *request.Server) {
	go func() { _ = s.Drain(r.d.killed) }()
}

// await blocks until no request is in progress, including those that other agents handed over, or until ctx ends.
func (r *requests) await(ctx context.Context) {
	if s := r.current(); s != nil {
		_ = s.Drain(ctx)
	}
}

// close closes the server with its open connections, and the control listener.
func (r *requests) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.server != nil {
		_ = r.server.Close()
	}
	if r.d.control != nil {
		_ = r.d.control.Close()
	}
}
