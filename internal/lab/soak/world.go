package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsrd"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Networks of the VMs within 127.0.0.0/8. The second byte is derived from the process ID, so that runs can be concurrent.
const (
	balancerNet = 1
	targetNet   = 2
	callerNet   = 3
	storeNet    = 4
	callerVMs   = 4
	// firstRunNet and runNets are the range of the second byte.
	firstRunNet = 100
	runNets     = 100
)

// The services and their addresses. That of movingAddress changes with each configuration if Options.Changes is set; each
// configuration adds an address that is routed to serviceA.
const (
	serviceA = "route-svc"
	serviceB = "reports-svc"
)

var (
	addressA = netip.MustParseAddrPort("198.18.0.1:443")
	addressB = netip.MustParseAddrPort("198.18.0.2:443")

	movingAddress = netip.MustParseAddrPort("198.18.0.3:443")
)

// ports are the port numbers, the same on every VM.
type ports struct {
	packets, messages, ready, control, outbound, target, status uint16
}

// balancer is a balancer's VM.
type balancer struct {
	*process
	address netip.Addr
	link    *proxy
	status  string
	entry   *entry
}

// agent is a target's VM with its agent.
type agent struct {
	*process
	address netip.Addr
	link    *proxy
	target  *target
}

// world is the installation under test and its surroundings.
type world struct {
	o       Options
	random  *rand.Rand
	counts  *counts
	ports   ports
	store   *store.Store
	api     net.Listener
	routers *routers

	balancers []*balancer
	agents    []*agent
	callers   []*callerVM

	// firstStart is set while the whole system starts for the first time, if the daemons are told so.
	firstStart bool

	// configMu is held while a configuration is written or the object API is restored; it is locked before mu. It
	// guards document, the last accepted configuration.
	configMu sync.Mutex
	document []byte

	mu sync.Mutex
	// requests maps each request to the last target that ran it.
	requests map[string]string
	// version is the last configuration accepted by the store, acceptedAt the time of its last write.
	version    int
	acceptedAt time.Time
	// agentsKilledAt is when all agents were last killed: the owners of flows are then unknown until packets of their
	// targets or callers reveal them.
	agentsKilledAt time.Time
}

func newWorld(o Options) (*world, error) {
	w := &world{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 0)), counts: &counts{began: time.Now()},
		// Daemons wait at least so long for a change; a watch that waits longer is cut off by them and counts as failed.
		store: store.New(store.Config{Era: o.Seed % 2, WatchWait: dsrd.WatchWait}), routers: &routers{}, requests: make(map[string]string),

		firstStart: o.KillAllAfter > 0 || o.Changes,
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := w.choosePorts(); err != nil {
		return nil, err
	}
	var err error
	if w.api, err = net.Listen("tcp", netip.AddrPortFrom(w.address(storeNet, 0), 0).String()); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	go http.Serve(w.api, platformtest.Handler(w.store)) //nolint:errcheck // It returns when the listener is closed.
	return w, nil
}

// address returns the nth address of a network.
func (w *world) address(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(firstRunNet + os.Getpid()%runNets), byte(network), byte(n + 1)})
}

// choosePorts picks ports that are free on the address of the store.
func (w *world) choosePorts() error {
	p := &w.ports
	for _, port := range []*uint16{&p.packets, &p.messages, &p.ready, &p.control, &p.outbound, &p.target, &p.status} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(w.address(storeNet, 0), 0).String())
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer l.Close() //nolint:errcheck // All stay open until every port is chosen, so that they differ.
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// build creates the VMs without starting their processes.
func (w *world) build() error {
	for n := range w.o.Balancers {
		if err := w.addBalancer(n); err != nil {
			return err
		}
	}
	for n := range w.o.Targets {
		if err := w.addAgent(n); err != nil {
			return err
		}
	}
	for n := range callerVMs {
		vm, err := newCallerVM(netip.AddrPortFrom(w.address(callerNet, n), w.ports.packets))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		w.callers = append(w.callers, vm)
	}
	return nil
}

func (w *world) addBalancer(n int) error {
	link, err := w.newLink(n)
	if err != nil {
		return err
	}
	b := &balancer{
		process: newProcess(w.o, fmt.Sprintf("balancer-%d", n+1), "auburnwood-dsr-balancer", w.counts),
		address: w.address(balancerNet, n), link: link,
	}
	b.status = netip.AddrPortFrom(b.address, w.ports.status).String()
	w.routers.add(netip.AddrPortFrom(b.address, w.ports.packets), netip.AddrPortFrom(b.address, w.ports.ready).String())
	b.entry = w.routers.entries[n]
	w.balancers = append(w.balancers, b)
	return w.writeBalancer(b)
}

func (w *world) addAgent(n int) error {
	link, err := w.newLink(w.o.Balancers + n)
	if err != nil {
		return err
	}
	a := &agent{
		process: newProcess(w.o, fmt.Sprintf("agent-%d", n+1), "auburnwood-dsr-agent", w.counts),
		address: w.address(targetNet, n), link: link,
	}
	a.target = &target{
		w: w, service: serviceA, control: netip.AddrPortFrom(a.address, w.ports.control).String(),
		outbound: netip.AddrPortFrom(a.address, w.ports.outbound),
	}
	a.target.stableName = n%2 == 0
	// A third of the targets belong to the second service.
	if n%3 == 1 {
		a.target.service = serviceB
	}
	w.agents = append(w.agents, a)
	return w.writeAgent(a)
}

// newLink creates the proxy between a daemon and the object API.
func (w *world) newLink(n int) (*proxy, error) {
	p, err := newProxy(netip.AddrPortFrom(w.address(storeNet, 1+n), 0).String(), w.api.Addr().String())
	return p, trace.ConvertSystemError(err)
}

func (w *world) targetAddress(t *target) netip.AddrPort {
	return netip.AddrPortFrom(t.outbound.Addr(), w.ports.target)
}

// serviceOf returns the service that an address is routed to in every configuration.
func (w *world) serviceOf(address netip.AddrPort) string {
	if address == addressB {
		return serviceB
	}
	return serviceA
}

// mayServe reports whether an address is routed to a service in any configuration.
func (w *world) mayServe(service string, address netip.AddrPort) bool {
	return address == movingAddress || service == w.serviceOf(address)
}

// isTargetRunning reports whether the target process with the given ID is running.
func (w *world) isTargetRunning(id string) bool {
	for _, a := range w.agents {
		if a.target.isRunning(id) {
			return true
		}
	}
	return false
}

// recordRun records that a target runs a request; a second run is a violation.
func (w *world) recordRun(request, id string) {
	w.mu.Lock()
	before, twice := w.requests[request]
	w.requests[request] = id
	w.mu.Unlock()
	if twice {
		w.counts.violation("request %s ran at %s and at %s", request, before, id)
	}
}

// recordAgentsKilled records that all agents are killed now.
func (w *world) recordAgentsKilled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agentsKilledAt = time.Now()
}

// ownersKnownSince reports whether agents have not all been killed at once since a time.
func (w *world) ownersKnownSince(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agentsKilledAt.Before(since)
}

// startAll starts every daemon and target that is not running, and replaces targets that are draining.
func (w *world) startAll() error {
	for _, b := range w.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	for _, a := range w.agents {
		if a.target.activeName() == "" {
			a.target.stopProcess()
			if err := a.target.startProcess(); err != nil {
				return err
			}
		}
		if err := a.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills the remaining processes and closes all sockets.
func (w *world) close() {
	for _, b := range w.balancers {
		b.kill()
		b.link.close()
	}
	for _, a := range w.agents {
		a.kill()
		a.target.stopProcess()
		a.link.close()
	}
	for _, vm := range w.callers {
		_ = vm.conn.Close()
	}
	_ = w.api.Close()
}

// newCaller returns a flow from a random caller VM to a random service.
func (w *world) newCaller(random *rand.Rand) *caller {
	c := &caller{w: w, vm: w.callers[random.IntN(len(w.callers))], to: addressA, random: random}
	if random.IntN(3) == 0 {
		c.to = addressB
	}
	if w.o.Changes && random.IntN(2) == 0 {
		c.to = movingAddress
	}
	return c
}
