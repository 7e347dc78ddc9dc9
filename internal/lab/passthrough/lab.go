package passthrough

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsrd"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

// Kind and name of the object that holds the configuration.
const (
	configurationKind objectapi.Kind = "routes"
	configurationName string         = "all"
)

// Networks of the processes; each process has its own address in 127.0.0.0/8, and all use the same ports.
const (
	balancerNet = 1
	agentNet    = 2
	targetNet   = 3
	callerNet   = 4
)

// serviceAt is a service with its address.
type serviceAt struct {
	name    string
	address netip.AddrPort
	slots   int
}

type balancerNode struct {
	daemon  *dsrd.Balancer
	packets netip.AddrPort
	stop    context.CancelFunc
	done    chan struct{}
	// rotation is set while the fabric sends packets to it.
	rotation bool
}

// agentNode is a target with its agent. The agent may be down while the target is alive.
type agentNode struct {
	target  *target
	daemon  *dsrd.Agent
	number  int
	stop    context.CancelFunc
	done    chan struct{}
	deadAt  time.Time
	backAt  time.Time
	leaving bool
	// hashed is the number of flows that a plain hash would have sent here.
	hashed int
}

// lab is an installation under test.
type lab struct {
	o        Options
	d        flows.Deployment
	log      zerolog.Logger
	store    *store.Store
	tally    *counts
	services []serviceAt
	port     int
	messages int
	version  int

	mu        sync.Mutex
	balancers []*balancerNode
	agents    []*agentNode
	numbers   [callerNet + 1]int
}

func newLab(o Options, d flows.Deployment) (*lab, error) {
	l := &lab{o: o, d: d, log: o.Log, store: store.New(store.Config{}), tally: &counts{}}
	l.tally.lab = l
	var err error
	if l.port, err = freePort(); err != nil {
		return nil, err
	}
	if l.messages, err = freePort(); err != nil {
		return nil, err
	}
	for i, s := range d.Services {
		l.services = append(l.services, serviceAt{
			name:    s.Name,
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), 80),
			slots:   int(s.Slots),
		})
	}
	return l, nil
}

// freePort returns a UDP port that was free at the time of the call.
func freePort() (int, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, trace.Wrap(err, "find a free port")
	}
	defer c.Close() //nolint:errcheck // Nothing was sent.
	return c.LocalAddr().(*net.UDPAddr).Port, nil
}

// address returns the next address of a network.
func (l *lab) address(network int) netip.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.numbers[network]++
	n := l.numbers[network]
	return netip.AddrFrom4([4]byte{127, byte(10 + network), byte(n >> 8), byte(n)})
}

// configure writes the next configuration; each has one more route without targets.
func (l *lab) configure(ctx context.Context) error {
	l.version++
	c := configuration.Configuration{Label: fmt.Sprint(l.version)}
	for _, s := range l.services {
		c.Services = append(c.Services, configuration.Service{Name: s.name, HealthPath: "/health"})
		c.Routes = append(c.Routes, configuration.Route{
			Name: s.name, Destination: s.address, Shares: []configuration.Share{{Service: s.name, Weight: 1}},
			Aim: 150 * time.Millisecond, Timeout: openTime,
		})
	}
	for i := range l.version {
		c.Routes = append(c.Routes, configuration.Route{
			Name: fmt.Sprint("idle-", i), Destination: netip.AddrPortFrom(l.services[0].address.Addr(), uint16(9000+i)),
		})
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if l.version == 1 {
		_, err = l.store.Create(ctx, configurationKind, configurationName, b)
		return err
	}
	o, err := l.store.Get(ctx, configurationKind, configurationName)
	if err != nil {
		return err
	}
	o.Value = b
	_, err = l.store.Update(ctx, o)
	return err
}

// platform returns the platform of the daemons, with s as the object API.
func (l *lab) platform(s objectapi.Store) dsrd.Platform {
	return dsrd.Platform{
		Codec:             dsrtest.Codec{},
		Store:             s,
		ConfigurationKind: configurationKind,
		ConfigurationName: configurationName,
		Decode: func(o objectapi.Object) (configuration.Configuration, error) {
			var c configuration.Configuration
			err := json.Unmarshal(o.Value, &c)
			c.Version = o.Version
			return c, err
		},
		ReadyHandler:  func(func() error) http.Handler { return http.NotFoundHandler() },
		TargetHandler: func(dsrd.Targets) http.Handler { return http.NotFoundHandler() },
		Probe:         l.probe,
	}
}

// probe answers the health check of a target.
func (l *lab) probe(_ context.Context, at netip.AddrPort, _ string) (announcement.HealthCheck, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.agents {
		if n.target.conn.LocalAddr().(*net.UDPAddr).AddrPort() == at {
			return n.target.healthCheck()
		}
	}
	return announcement.HealthCheck{}, errors.New("no target at this address")
}

func (l *lab) process(name string, address netip.Addr, place int) settings.DSRProcess {
	return settings.DSRProcess{
		Process:       settings.Process{Name: name, Region: l.d.Region, DataCentre: l.d.DataCentres[place%len(l.d.DataCentres)]},
		PacketAddress: netip.AddrPortFrom(address, uint16(l.port)).String(),
		MessagePort:   l.messages,
		Seeds:         l.seeds(),
		ReadyAddress:  netip.AddrPortFrom(address, 0).String(),
		GraceTime:     settings.NewDuration(6 * time.Second),
	}
}

// seeds returns the addresses of the first balancers, at most three.
func (l *lab) seeds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, b := range l.balancers[:min(3, len(l.balancers))] {
		out = append(out, b.packets.String())
	}
	return out
}

func (l *lab) env() telemetry.Env {
	return telemetry.Env{Log: l.log, Scope: tally.NoopScope, Status: new(telemetry.Status)}
}

// startBalancer starts a balancer that uses s as its object API.
func (l *lab) startBalancer(s objectapi.Store) error {
	address := l.address(balancerNet)
	cfg := settings.DSRBalancer{DSRProcess: l.process(fmt.Sprintf("balancer-%s", address), address, int(address.As4()[3]))}
	d, err := dsrd.NewBalancer(cfg, l.platform(s), l.env())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &balancerNode{daemon: d, packets: netip.AddrPortFrom(address, uint16(l.port)), stop: stop, done: make(chan struct{}), rotation: true}
	go l.run(n.done, func() error { return d.Run(ctx) })
	l.mu.Lock()
	l.balancers = append(l.balancers, n)
	l.mu.Unlock()
	return nil
}

// run runs a daemon, logs its error and closes done.
func (l *lab) run(done chan struct{}, f func() error) {
	defer close(done)
	if err := f(); err != nil && !errors.Is(err, context.Canceled) {
		l.log.Error().Err(err).Msg("daemon failed")
	}
}

// startTarget starts a target, its agent and its heartbeats.
func (l *lab) startTarget(s serviceAt, first bool) error {
	number := l.address(targetNet)
	t, err := newTarget(fmt.Sprintf("target-%s", number), s.name, s.slots, netip.AddrPortFrom(number, uint16(l.port)), l.tally)
	if err != nil {
		return err
	}
	n := &agentNode{target: t, number: int(number.As4()[3])}
	if err := l.startAgent(n, first); err != nil {
		return err
	}
	l.mu.Lock()
	l.agents = append(l.agents, n)
	l.mu.Unlock()
	go l.sendHeartbeats(n)
	return nil
}

// startAgent starts the agent of a target; a restarted agent gets the same address.
func (l *lab) startAgent(n *agentNode, first bool) error {
	address := netip.AddrFrom4([4]byte{127, 10 + agentNet, 0, byte(n.number)})
	outbound := netip.AddrPortFrom(address, uint16(l.messages))
	cfg := settings.DSRAgent{
		DSRProcess:        l.process(fmt.Sprintf("agent-%s", address), address, n.number),
		Service:           n.target.service,
		TargetAddress:     n.target.conn.LocalAddr().String(),
		OutboundAddress:   outbound.String(),
		AnnounceAddress:   netip.AddrPortFrom(address, 0).String(),
		HeartbeatInterval: settings.NewDuration(heartbeat),
	}
	cfg.FirstStart = first
	d, err := dsrd.NewAgent(cfg, l.platform(l.store), l.env())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.target.mu.Lock()
	n.target.outbound = outbound
	n.target.mu.Unlock()
	l.mu.Lock()
	n.daemon, n.stop, n.done = d, stop, done
	l.mu.Unlock()
	go l.run(done, func() error { return d.Run(ctx) })
	return nil
}

// sendHeartbeats announces a target to its agent until the target is killed.
func (l *lab) sendHeartbeats(n *agentNode) {
	for {
		a, ok := n.target.announcement()
		if !ok {
			return
		}
		l.mu.Lock()
		d := n.daemon
		l.mu.Unlock()
		if d != nil && !n.target.holding() {
			_ = d.Announce(a)
		}
		time.Sleep(heartbeat)
	}
}

// anyBalancer returns the address of a random balancer in rotation.
func (l *lab) anyBalancer(r *rand.Rand) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var in []netip.AddrPort
	for _, b := range l.balancers {
		if b.rotation {
			in = append(in, b.packets)
		}
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	return in[r.IntN(len(in))], true
}

// living returns the targets that are alive.
func (l *lab) living() []*target {
	l.mu.Lock()
	agents := slices.Clone(l.agents)
	l.mu.Unlock()
	var out []*target
	for _, n := range agents {
		if n.target.alive() {
			out = append(out, n.target)
		}
	}
	return out
}

func (l *lab) targetLives(name string) bool {
	return slices.ContainsFunc(l.living(), func(t *target) bool { return t.name == name })
}

// close closes all balancers, targets and agents without draining them.
func (l *lab) close() {
	l.mu.Lock()
	balancers, agents := slices.Clone(l.balancers), slices.Clone(l.agents)
	l.mu.Unlock()
	for _, b := range balancers {
		b.daemon.Close()
		<-b.done
	}
	for _, n := range agents {
		n.target.kill()
		_ = n.target.conn.Close()
		n.daemon.Close()
		<-n.done
	}
}
