package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The bounds of the deployment, as its page sets them.
const (
	heartbeatMs     = 770
	drainTime       = 3000 * time.Millisecond
	stabilityWindow = 4000 * time.Millisecond
	graceS          = 6
	idleTimeoutMs   = 15000
	maxFlowAge      = 60 * time.Second
)

// Networks of the machines: the third byte of their loopback addresses.
const (
	netBalancers = 1
	netServers   = 2
	netClients   = 3
	netStore     = 4
	netRoutes    = 5
)

// Offsets of the ports from the world's first one; they are the same on every machine.
const (
	portPackets = iota
	portReady
	portControl
	portOutbound
	portApp
	portInternal
	portStore
	portCount
)

// statusPort is fixed in the settings templates.
const statusPort = 9464

// world is a small deployment: balancers, machines with an agent and a server each, the store, the routers and requesters.
type world struct {
	record *record
	dir    string
	net    byte
	port   int
	store  *store

	balancers []*balancer
	machines  []*machine
	clients   *clients

	mu sync.Mutex
	// inRotation says which balancers the routers use.
	inRotation map[string]bool
	// impairedAt is when a machine, a process or a link was last impaired; starts count.
	impairedAt time.Time
	// routes are those of the last desired state, dropped those that one has dropped.
	routes, dropped map[netip.AddrPort]bool
	cancel          context.CancelFunc
}

type balancer struct {
	*daemon
	ip netip.Addr
}

// machine is a side machine: a server with the agent beside it.
type machine struct {
	*daemon
	ip     netip.Addr
	server *server
	// control is where the server sends its reports: the agent's control address or a proxy before it.
	control string
}

// newWorld starts the store; dir holds settings and logs.
func newWorld(r *record, dir string) (*world, error) {
	w := &world{record: r, dir: dir, inRotation: make(map[string]bool), routes: make(map[netip.AddrPort]bool), dropped: make(map[netip.AddrPort]bool)}
	if err := w.chooseAddresses(); err != nil {
		return nil, err
	}
	var err error
	if w.store, err = newStore(w.at(w.ip(netStore, 0), portStore).String()); err != nil {
		return nil, err
	}
	w.clients, err = newClients(w)
	return w, err
}

// chooseAddresses picks a network and ports on which nothing listens.
func (w *world) chooseAddresses() error {
	for try := range 50 {
		w.net = byte(20 + (os.Getpid()+try*7)%200)
		w.port = 20000 + (os.Getpid()*13+try*101)%9000
		if w.isFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (w *world) isFree() bool {
	for _, ip := range []netip.Addr{w.ip(netBalancers, 0), w.ip(netServers, 0), w.ip(netStore, 0)} {
		for _, port := range []int{w.port, w.port + portReady, w.port + portControl, w.port + portOutbound, w.port + portApp, w.port + portInternal, w.port + portStore, statusPort} {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, uint16(port)).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) ip(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(network), byte(n + 10)})
}

func (w *world) at(ip netip.Addr, offset int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(w.port+offset))
}

// route returns the address and port of a route.
func (w *world) route(n int) netip.AddrPort { return netip.AddrPortFrom(w.ip(netRoutes, n), 443) }

// fields are the settings that the platform gives to a process.
func (w *world) fields(name, zone string, ip netip.Addr) map[string]any {
	var seeds []string
	for n := range min(3, len(w.balancers)) {
		seeds = append(seeds, w.at(w.ip(netBalancers, n), portControl).String())
	}
	return map[string]any{
		"node": name, "region": "amman-east", "zone": zone, "ip": ip.String(), "heartbeatIntervalMs": heartbeatMs,
		"seeds": seeds, "internalPortRange": []int{w.port + portInternal, w.port + portInternal},
		"listenAddrs": map[string]any{
			"datagramAddr": w.at(ip, portPackets).String(), "ready": w.at(ip, portReady).String(),
			"control": w.at(ip, portControl).String(), "outbound": w.at(ip, portOutbound).String(),
		},
		"app":      w.at(ip, portApp).String(),
		"limits":   map[string]any{"cpuShare": 0.4, "linkMbps": 1000.0},
		"bounds":   map[string]any{"graceS": graceS},
		"platform": map[string]any{"address": w.store.address()},
	}
}

// build lays out balancers and machines with the given services; nothing is started.
func (w *world) build(balancers int, services ...string) {
	w.balancers = make([]*balancer, balancers)
	for n := range balancers {
		name := fmt.Sprintf("frontend-%d", n+1)
		ip := w.ip(netBalancers, n)
		w.balancers[n] = &balancer{ip: ip, daemon: &daemon{
			name: name, program: "target/auburnwood-dsr-balancer", template: "deploy/balancer.toml.template", dir: w.dir,
			fields: w.fields(name, fmt.Sprintf("zone-%d", n+1), ip),
		}}
	}
	for n, service := range services {
		name := fmt.Sprintf("side-%d", n+1)
		ip := w.ip(netServers, n)
		f := w.fields(name, fmt.Sprintf("zone-%d", n%balancers+1), ip)
		f["service"] = service
		m := &machine{ip: ip, control: w.at(ip, portControl).String(), daemon: &daemon{
			name: name, program: "target/auburnwood-dsr-agent", template: "deploy/agent.toml.template", dir: w.dir, fields: f,
		}}
		m.server = newServer(w, m, service, f["zone"].(string))
		w.machines = append(w.machines, m)
	}
}

// startAll starts everything for the first time and waits until the routers use all balancers.
func (w *world) startAll() error {
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	for _, b := range w.balancers {
		if err := b.start(true); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := m.start(true); err != nil {
			return err
		}
		if err := m.server.start(); err != nil {
			return err
		}
	}
	w.impair()
	for _, b := range w.balancers {
		go w.checkReady(ctx, b)
	}
	return w.awaitRotation(len(w.balancers), 15*time.Second)
}

// awaitRotation waits until the routers use a number of balancers.
func (w *world) awaitRotation(n int, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		used := 0
		for _, b := range w.balancers {
			if w.inRotation[b.name] {
				used++
			}
		}
		w.mu.Unlock()
		if used == n {
			return nil
		}
	}
	return fmt.Errorf("not %d balancers in rotation within %s", n, within)
}

// checkReady checks a balancer twice a second; after two misses it is out of rotation until it answers with 200.
func (w *world) checkReady(ctx context.Context, b *balancer) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + w.at(b.ip, portReady).String() + "/-/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if misses++; ok {
			misses = 0
		}
		w.mu.Lock()
		before := w.inRotation[b.name]
		w.inRotation[b.name] = ok || before && misses < 2
		after := w.inRotation[b.name]
		w.mu.Unlock()
		if before != after {
			w.record.note("routers: %s in rotation: %v", b.name, after)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// balancerFor returns the balancer in rotation that a steady hash chooses for a flow; nil when there is none.
func (w *world) balancerFor(src, dst netip.AddrPort) *balancer {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *balancer
	var highest uint64
	for _, b := range w.balancers {
		if !w.inRotation[b.name] {
			continue
		}
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, src, dst, b.name)
		if score := mix(h.Sum64()); best == nil || score > highest {
			best, highest = b, score
		}
	}
	return best
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// close ends all processes.
func (w *world) close() {
	ending.Store(true)
	if w.cancel != nil {
		w.cancel()
	}
	for _, b := range w.balancers {
		b.kill()
	}
	for _, m := range w.machines {
		m.kill()
		m.server.stop()
	}
	_ = w.store.listener.Close()
	_ = w.clients.conn.Close()
}

// impair records that something of the deployment is impaired, or starts, now.
func (w *world) impair() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.impairedAt = time.Now()
}

// excuse returns why the rule does not count a reset of a flow now, "" when it does. All machines are in touch when nothing was
// impaired within the stability window, so whose machine it was does not matter.
func (w *world) excuse(f *flow) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case time.Since(w.impairedAt) <= stabilityWindow:
		return "something was impaired within the stability window"
	case time.Since(f.opened) > maxFlowAge:
		return "the flow is too old"
	case f.longestPause() > idleTimeoutMs*time.Millisecond:
		return "the flow was idle for too long"
	case w.dropped[f.dst]:
		return "a desired state has dropped the flow's route"
	}
	return ""
}

// noteRoutes records the routes of a new desired state.
func (w *world) noteRoutes(routes []route) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[netip.AddrPort]bool)
	for _, r := range routes {
		next[w.route(r.n)] = true
	}
	for a := range w.routes {
		w.dropped[a] = w.dropped[a] || !next[a]
	}
	w.routes = next
}

// share is a service with its weight.
type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// route is one route of a desired state: its number and the shares of its new flows.
type route struct {
	n      int
	shares []share
}

// declare writes a desired state, which is acknowledged when the call returns.
func (w *world) declare(version int, services []string, routes ...route) error {
	type entry map[string]any
	var rs, ss []entry
	for _, r := range routes {
		a := w.route(r.n)
		rs = append(rs, entry{
			"name": fmt.Sprintf("r-%d", r.n), "host": a.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", a.Port()), "routeType": "unsafe",
			"timeoutMs": 1500, "targetLatencyMs": 150, "priority": 1, "trafficSplit": r.shares, "maxAttempts": 2,
		})
	}
	w.noteRoutes(routes)
	for _, s := range services {
		ss = append(ss, entry{"name": s, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false})
	}
	err := w.store.put("config", "main", entry{
		"version": version, "routes": rs, "services": ss,
		"limits": entry{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
	})
	w.record.note("operator: desired state %d acknowledged: %v", version, routes)
	return err
}

// keepLogs copies the logs of the daemons to a folder, for whoever looks into a run.
func (w *world) keepLogs(to string) {
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, l := range logs {
		if b, err := os.ReadFile(l); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(l)), b, 0o600)
		}
	}
}
