package passthrough

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// settleTime is the wait between the start of the processes and the first flow.
	settleTime  = 1200 * time.Millisecond
	maxRequests = 20
)

// Run runs the installation and writes the measurements to w. It returns the error of Result.Err if the run completes.
func Run(ctx context.Context, o Options, w io.Writer) (Result, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return Result{}, err
	}
	d, err := o.deployment()
	if err != nil {
		return Result{}, err
	}
	l, err := newLab(o, d)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	if err := l.start(ctx); err != nil {
		return Result{}, err
	}
	if err := l.runFlows(ctx); err != nil {
		return Result{}, err
	}
	r := l.tally.finish()
	r.Imbalance = l.imbalance(func(n *agentNode) int { return n.target.opened })
	r.BaselineImbalance = l.imbalance(func(n *agentNode) int { return n.hashed })
	r.print(w)
	return r, r.Err()
}

// start writes the first configuration and starts every process.
func (l *lab) start(ctx context.Context) error {
	if err := l.configure(ctx); err != nil {
		return trace.Wrap(err, "write the first configuration")
	}
	for range l.o.Balancers {
		if err := l.startBalancer(l.store); err != nil {
			return trace.Wrap(err, "start a balancer")
		}
	}
	for i, s := range l.services {
		for range l.d.Services[i].Targets {
			if err := l.startTarget(s, true); err != nil {
				return trace.Wrap(err, "start a target of %s", s.name)
			}
		}
	}
	time.Sleep(settleTime)
	return nil
}

// runFlows starts the flows evenly over the window while faults are injected, and waits until all flows and faults end.
func (l *lab) runFlows(ctx context.Context) error {
	r := rand.New(rand.NewPCG(l.o.Seed, 2))
	failed := make(chan error, 1)
	go func() { failed <- l.faults(ctx, rand.New(rand.NewPCG(l.o.Seed, 3))) }()
	var wg sync.WaitGroup
	pause := l.o.Window / time.Duration(l.o.Flows)
	for i := range l.o.Flows {
		c, err := l.newCaller(r, i)
		if err != nil {
			return err
		}
		wg.Go(func() { c.run(ctx) })
		time.Sleep(pause)
	}
	wg.Wait()
	return <-failed
}

// newCaller returns the caller of flow i. A quarter of the flows send maxRequests requests, the others up to three.
func (l *lab) newCaller(r *rand.Rand, i int) (*caller, error) {
	address := netip.AddrPortFrom(l.address(callerNet), uint16(l.port))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err, "listen for caller %d", i)
	}
	requests := 1 + r.IntN(3)
	if r.IntN(4) == 0 {
		requests = maxRequests
	}
	return &caller{
		lab:      l,
		conn:     conn,
		address:  address,
		service:  l.services[r.IntN(len(l.services))],
		random:   rand.New(rand.NewPCG(l.o.Seed, uint64(i))),
		requests: requests,
	}, nil
}

// imbalance returns the worst ratio, highest over mean, of the flows among the targets of a service that were present for
// the whole run.
func (l *lab) imbalance(flows func(*agentNode) int) float64 {
	worst := 0.0
	for i, s := range l.services {
		var highest, sum, n float64
		for _, a := range l.agents[:l.targets()] {
			if a.target.service != s.name || a.leaving || !a.deadAt.IsZero() || !a.target.alive() {
				continue
			}
			highest, sum, n = max(highest, float64(flows(a))), sum+float64(flows(a)), n+1
		}
		if sum > 0 && l.d.Services[i].Targets > 0 {
			worst = max(worst, highest/(sum/n))
		}
	}
	return worst
}

// targets returns the number of targets at the start.
func (l *lab) targets() int {
	n := 0
	for _, s := range l.d.Services {
		n += s.Targets
	}
	return n
}
