package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/internal/lab/cluster"
	"github.com/auburnwood/auburnwood/internal/lab/download"
	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/fabric"
)

const (
	balancers         = 3
	connections       = 2000
	requestsOfService = 300
	parallel          = 50
	downloadBytes     = 64 << 10
	longBytes         = 2 << 20
	longChunk         = 16 << 10
	longEvery         = 40 * time.Millisecond
	requestTimeout    = 20 * time.Second
	settleTime        = 4 * time.Second
	// unusedAddress belongs to no service.
	unusedAddress = "192.0.2.99:80"
)

type Options struct {
	// Deployment is "zarqa" or "saobien".
	Deployment string
	// Seed seeds the fabric and the cluster.
	Seed uint64
	// Log receives the log lines of all processes.
	Log zerolog.Logger
}

// show is a demo in progress.
type show struct {
	o          Options
	out        io.Writer
	deployment flows.Deployment
	fabric     *fabric.Fabric
	cluster    flows.Cluster
	callers    int
	failures   int
}

// Run runs the demo of one deployment, prints what happens, and returns an error if a response was missing, cut or wrong
// or a step failed.
func Run(ctx context.Context, o Options, out io.Writer) error {
	d, err := flows.FindDeployment(o.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	s := &show{o: o, out: out, deployment: d}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return trace.Wrap(err)
	}
	for _, step := range []func(context.Context) error{s.requests, s.drain, s.balancerFailure, s.refusal} {
		if err := step(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.failures > 0 {
		return trace.CompareFailed("%d downloads were cut or wrong", s.failures)
	}
	return nil
}

func (s *show) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format+"\n", args...) }

func (s *show) start(ctx context.Context) error {
	var err error
	if s.fabric, err = fabric.New(fabric.Config{Seed: s.o.Seed}); err != nil {
		return trace.Wrap(err)
	}
	limits := map[string]uint32{}
	for _, size := range s.deployment.Services {
		limits[size.Name] = connections
	}
	began := time.Now()
	s.cluster, err = cluster.New(ctx, flows.ClusterConfig{
		Deployment: s.deployment, Connections: limits, Balancers: balancers, Fabric: s.fabric, Seed: s.o.Seed, Log: s.o.Log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	s.printf("%s: %d balancers, %d targets with their agents, services applied and in force after %d ms",
		s.deployment.Name, len(s.cluster.Balancers()), len(s.cluster.Targets()), time.Since(began).Milliseconds())
	return nil
}

func (s *show) close() {
	if s.cluster != nil {
		s.cluster.Close()
	}
	if s.fabric != nil {
		s.fabric.Close()
	}
}

// client returns the HTTP client of a new caller.
func (s *show) client() *http.Client {
	s.callers++
	ip := netip.AddrFrom4([4]byte{10, 1, byte(s.callers >> 8), byte(s.callers)})
	return download.Client(s.fabric, ip, requestTimeout)
}

func spec(size flows.ServiceSize, flow string, bytes int) download.Spec {
	address := netip.AddrPortFrom(netip.MustParseAddr(size.Address.IP), size.Address.Port)
	return download.Spec{Service: size.Name, Address: address, Flow: flow, Bytes: bytes}
}

// requests sends many downloads to each service and checks each byte and the service that answered.
func (s *show) requests(ctx context.Context) error {
	for _, size := range s.deployment.Services {
		began := time.Now()
		tally, err := s.downloads(ctx, size)
		if err != nil {
			return trace.Wrap(err)
		}
		s.printf("%-13s %d downloads of %d KiB in %4d ms, every byte right, answered by %d targets (%s)",
			size.Name, requestsOfService, downloadBytes>>10, time.Since(began).Milliseconds(), len(tally.counts), tally.spread())
	}
	return nil
}

func (s *show) downloads(ctx context.Context, size flows.ServiceSize) (*answers, error) {
	tally := newAnswers()
	g, run := errgroup.WithContext(ctx)
	g.SetLimit(parallel)
	for i := range requestsOfService {
		client := s.client()
		g.Go(func() error {
			id, err := download.Get(run, client, spec(size, fmt.Sprint("demo-", i), downloadBytes))
			if err != nil {
				return trace.Wrap(err)
			}
			tally.add(id)
			return nil
		})
	}
	return tally, g.Wait()
}
