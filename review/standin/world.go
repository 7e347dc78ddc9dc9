package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Networks of the machines within 127.0.0.0/8; the second byte differs between runs.
const (
	frontNet = 1 + iota
	sideNet
	requesterNet
	storeNet
)

// The two services and the addresses that requesters use.
const (
	routeService   = "route-svc"
	reportsService = "reports-svc"
)

var (
	routeAddress   = netip.MustParseAddrPort("127.0.198.1:443")
	reportsAddress = netip.MustParseAddrPort("127.0.198.2:443")
)

// Bounds of a small deployment.
const (
	graceTime   = 6 * time.Second
	drainBound  = 3 * time.Second
	touchWindow = 4 * time.Second
	// startTime is how long a start may take until all front machines are in rotation.
	startTime = 15 * time.Second
	// restartDelay is the delay until the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// ports are the port numbers, the same on all machines.
type ports struct {
	packets, messages, ready, control, outbound, app, status uint16
}

// world is a small deployment and its surroundings.
type world struct {
	ctx      context.Context
	rec      *record
	programs string
	dir      string
	ports    ports
	store    *store
	router   *router
	clients  *requesters
	fronts   []*daemon
	sides    []*daemon
	// bootstrap is set while the whole system starts for the first time.
	bootstrap bool
	version   int
}

// daemon is a process of the system on its machine.
type daemon struct {
	w       *world
	name    string
	program string
	ip      netip.Addr
	// service is that of the server on a side machine.
	service string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

func newWorld(ctx context.Context, rec *record, programs string, fronts int, sides []string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{ctx: ctx, rec: rec, programs: programs, dir: dir, router: newRouter(), bootstrap: true, version: 6}
	if err := w.choosePorts(); err != nil {
		return nil, err
	}
	if w.store, err = newStore(w.at(w.ip(storeNet, 1), 0).String()); err != nil {
		return nil, err
	}
	w.configure(nil)
	for n := range fronts {
		d := &daemon{w: w, name: fmt.Sprintf("frontend-marka-hall-%d", n+1), program: "auburnwood-dsr-balancer", ip: w.ip(frontNet, n+1)}
		w.fronts = append(w.fronts, d)
	}
	for n, service := range sides {
		d := &daemon{w: w, name: fmt.Sprintf("side-marka-hall-%d", n+1), program: "auburnwood-dsr-agent", ip: w.ip(sideNet, n+1), service: service}
		w.sides = append(w.sides, d)
	}
	w.clients, err = newRequesters(w.at(w.ip(requesterNet, 1), w.ports.packets), w.router, rec)
	return w, err
}

func (w *world) ip(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(network), byte(n)})
}

func (w *world) at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// choosePorts picks free ports.
func (w *world) choosePorts() error {
	p := &w.ports
	for _, port := range []*uint16{&p.packets, &p.messages, &p.ready, &p.control, &p.outbound, &p.app, &p.status} {
		l, err := net.Listen("tcp", w.at(w.ip(storeNet, 1), 0).String())
		if err != nil {
			return err
		}
		defer l.Close() //nolint:errcheck // All stay open until every port is chosen, so that they differ.
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// configure writes the next desired state, with further routes beside the two usual ones.
func (w *world) configure(further []netip.AddrPort) {
	w.version++
	type object = map[string]any
	route := func(name string, a netip.AddrPort, kind, service string, timeout, aim, priority int) object {
		return object{
			"name": name, "host": a.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", a.Port()), "routeType": kind,
			"timeoutMs": timeout, "targetLatencyMs": aim, "priority": priority, "service": service, "maxAttempts": 2,
		}
	}
	routes := []object{
		route("r-1", routeAddress, "unsafe", routeService, 1500, 150, 1),
		route("r-2", reportsAddress, "download", reportsService, 5000, 500, 2),
	}
	for n, a := range further {
		routes = append(routes, route(fmt.Sprintf("r-%d", n+3), a, "safe", routeService, 1200, 120, 2))
	}
	service := func(name string) object {
		return object{"name": name, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false}
	}
	w.store.put("config", "main", object{
		"version": w.version, "routes": routes, "services": []object{service(routeService), service(reportsService)},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.rec.note("desired state %d is acknowledged", w.version)
}

// startAll starts all daemons and waits until all front machines are in rotation. Later starts are not the first.
func (w *world) startAll() error {
	for _, d := range append(append([]*daemon(nil), w.fronts...), w.sides...) {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.fronts {
		w.router.add(w.ctx, w.at(d.ip, w.ports.packets), w.at(d.ip, w.ports.ready).String())
	}
	w.bootstrap = false
	return nil
}

// awaitRotation waits until all front machines are in rotation.
func (w *world) awaitRotation() error {
	for end := time.Now().Add(startTime); w.router.inRotation() < len(w.fronts); {
		if time.Now().After(end) || w.ctx.Err() != nil {
			return fmt.Errorf("%d of %d front machines are in rotation %s after the start", w.router.inRotation(), len(w.fronts), startTime)
		}
		pause(w.ctx, 50*time.Millisecond)
	}
	w.rec.note("all front machines are in rotation")
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, d := range append(append([]*daemon(nil), w.fronts...), w.sides...) {
		d.kill()
	}
	_ = w.store.listener.Close()
	_ = w.clients.conn.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// settings returns the settings file that the platform renders from the templates of the deploy file.
func (d *daemon) settings() string {
	p := d.w.ports
	at := func(port uint16) string { return d.w.at(d.ip, port).String() }
	var seeds []string
	for n := range min(3, len(d.w.fronts)) {
		seeds = append(seeds, fmt.Sprintf("%q", d.w.at(d.w.fronts[n].ip, p.control)))
	}
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("name = %q", d.name)
	line("region = %q", "amman-east")
	line("data_centre = %q", "marka-hall")
	line("status_address = %q", at(p.status))
	line("packet_address = %q", at(p.packets))
	line("ready_address = %q", at(p.ready))
	if d.service == "" {
		line("control_address = %q", at(p.control))
		line("cpu_share = 0.4")
		line("link_mbps = 1000.0")
	} else {
		line("announce_address = %q", at(p.control))
		line("outbound_address = %q", at(p.outbound))
		line("target_address = %q", at(p.app))
		line("service = %q", d.service)
		line("heartbeat_interval = %q", heartbeatInterval)
	}
	line("first_start = %t", d.w.bootstrap)
	line("message_port = %d", p.messages)
	line("seeds = [%s]", strings.Join(seeds, ","))
	line("grace_time = %q", graceTime)
	line("[object_api]")
	line("url = %q", "http://"+d.w.store.address())
	line("timeout = %q", "500ms")
	return b.String()
}

// start starts the process as the deploy file says.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	path := filepath.Join(d.w.dir, d.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(d.w.programs, d.program))
	c.Env = append(os.Environ(), "AUBURNWOOD_SETTINGS="+path)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	d.command, d.done = c, done
	d.w.rec.note("process of %s starts (bootstrap %t)", d.name, d.w.bootstrap)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done != nil {
		<-done
	}
}

// restart stops the process as planned work does, with SIGTERM and SIGKILL after the grace time, and starts it again.
func (d *daemon) restart() error {
	d.w.rec.note("SIGTERM to the process of %s", d.name)
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(graceTime):
		d.w.rec.note("SIGKILL to the process of %s", d.name)
		d.kill()
	}
	d.w.rec.note("the process of %s has ended", d.name)
	pause(d.w.ctx, restartDelay)
	return d.start()
}

// newServer returns a server on a side machine.
func (w *world) newServer(n int, id string) *server {
	d := w.sides[n]
	return &server{
		id: id, service: d.service, app: w.at(d.ip, w.ports.app), outbound: w.at(d.ip, w.ports.outbound),
		control: w.at(d.ip, w.ports.control).String(), rec: w.rec,
	}
}
