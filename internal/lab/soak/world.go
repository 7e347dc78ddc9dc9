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
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Networks of the VMs within 127.0.0.0/8: the second byte is the run's own, so that runs may go on beside each other.
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

// The services and their addresses; the operator adds addresses that lead to the first one.
const (
	serviceA = "route-svc"
	serviceB = "reports-svc"
)

var (
	addressA = netip.MustParseAddrPort("198.18.0.1:443")
	addressB = netip.MustParseAddrPort("198.18.0.2:443")
)

// ports are the same on every VM.
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

// agent is a target's VM.
type agent struct {
	*process
	address netip.Addr
	link    *proxy
	target  *target
}

// world is the whole installation.
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

	// operating is held while the operator's configuration is written or the object API comes back, and locked before mu; document is the
	// last configuration that was accepted.
	operating sync.Mutex
	document  []byte

	mu sync.Mutex
	// requests are the targets that ran each request.
	requests map[string]string
	// version is the last configuration that the store has accepted, acceptedAt when.
	version    int
	acceptedAt time.Time
	// forgotten is when every agent was last killed: nobody then knows the owners of flows until their targets or callers
	// show them.
	forgotten time.Time
}

func newWorld(o Options) (*world, error) {
	w := &world{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 0)), counts: &counts{began: time.Now()},
		store: store.New(store.Config{Era: o.Seed % 2}), routers: &routers{}, requests: make(map[string]string),
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
	go http.Serve(w.api, platformtest.Handler(w.store)) //nolint:errcheck // It ends with the listener.
	return w, nil
}

// address is the nth address of a network.
func (w *world) address(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(firstRunNet + os.Getpid()%runNets), byte(network), byte(n + 1)})
}

// choosePorts takes ports that are free on the store's address.
func (w *world) choosePorts() error {
	p := &w.ports
	for _, port := range []*uint16{&p.packets, &p.messages, &p.ready, &p.control, &p.outbound, &p.target, &p.status} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(w.address(storeNet, 0), 0).String())
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer l.Close() //nolint:errcheck // All are held until each has its own.
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// build makes the VMs; nothing is started.
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
	a.target.keepsName = n%2 == 0
	// A third of the targets is of the second service.
	if n%3 == 1 {
		a.target.service = serviceB
	}
	w.agents = append(w.agents, a)
	return w.writeAgent(a)
}

// newLink is a daemon's connection to the object API.
func (w *world) newLink(n int) (*proxy, error) {
	p, err := newProxy(netip.AddrPortFrom(w.address(storeNet, 1+n), 0).String(), w.api.Addr().String())
	return p, trace.ConvertSystemError(err)
}

func (w *world) targetAddress(t *target) netip.AddrPort {
	return netip.AddrPortFrom(t.outbound.Addr(), w.ports.target)
}

// serviceOf is the service that an address leads to in every configuration.
func (w *world) serviceOf(address netip.AddrPort) string {
	if address == addressB {
		return serviceB
	}
	return serviceA
}

// lives reports whether the target's process with the given name lives.
func (w *world) lives(id string) bool {
	for _, a := range w.agents {
		if a.target.is(id) {
			return true
		}
	}
	return false
}

// ran notes that a target works on a request.
func (w *world) ran(request, id string) {
	w.mu.Lock()
	before, twice := w.requests[request]
	w.requests[request] = id
	w.mu.Unlock()
	if twice {
		w.counts.violation("request %s ran at %s and at %s", request, before, id)
	}
}

// forget notes that every agent was killed.
func (w *world) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgotten = time.Now()
}

// knew reports whether the owners of flows have been known since a time.
func (w *world) knew(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.forgotten.Before(since)
}

// startAll starts every target and daemon that does not run.
func (w *world) startAll() error {
	for _, b := range w.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	for _, a := range w.agents {
		if a.target.healthy() == "" {
			a.target.end()
			if err := a.target.begin(); err != nil {
				return err
			}
		}
		if err := a.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends what is left.
func (w *world) close() {
	for _, b := range w.balancers {
		b.kill()
		b.link.close()
	}
	for _, a := range w.agents {
		a.kill()
		a.target.end()
		a.link.close()
	}
	for _, vm := range w.callers {
		_ = vm.conn.Close()
	}
	_ = w.api.Close()
}

// call returns a flow of a random caller.
func (w *world) call(random *rand.Rand) *caller {
	c := &caller{w: w, vm: w.callers[random.IntN(len(w.callers))], to: addressA, random: random}
	if random.IntN(3) == 0 {
		c.to = addressB
	}
	c.service = w.serviceOf(c.to)
	return c
}
