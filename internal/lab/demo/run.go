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
	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/target"
)

// Numbers of the demo.
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

// Options say what the demo runs.
type Options struct {
	// Deployment is "zarqa" or "saobien".
	Deployment string
	// Seed makes it repeatable.
	Seed uint64
	// Log takes the log lines of all processes.
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
	wrong      int
}

// Run runs the demo of one deployment, prints what happens, and returns an error when anything was not as promised.
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
	for _, step := range []func(context.Context) error{s.requests, s.drain, s.deaths, s.refusal} {
		if err := step(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.wrong > 0 {
		return trace.CompareFailed("%d answers were missing, cut or wrong", s.wrong)
	}
	return nil
}

func (s *show) say(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format+"\n", args...) }

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
	s.say("%s: %d balancers, %d targets with their agents, services applied and in force after %d ms",
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

// client returns an HTTP client whose TCP packets cross the fabric one by one.
func (s *show) client() *http.Client {
	s.callers++
	ip := netip.AddrFrom4([4]byte{10, 1, byte(s.callers >> 8), byte(s.callers)})
	c := s.fabric.NewCaller(ip)
	return &http.Client{
		Transport: &http.Transport{DialContext: c.DialContext, DisableKeepAlives: true},
		Timeout:   requestTimeout,
	}
}

// requests sends many downloads to each service and checks each byte and the service that answered.
func (s *show) requests(ctx context.Context) error {
	for _, size := range s.deployment.Services {
		began := time.Now()
		tally, err := s.downloads(ctx, size)
		if err != nil {
			return trace.Wrap(err)
		}
		s.say("%-13s %d downloads of %d KiB in %4d ms, every byte right, answered by %d targets (%s)",
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
			id, err := download(run, client, size, fmt.Sprint("demo-", i), downloadBytes, downloadBytes, 0)
			if err != nil {
				return trace.Wrap(err)
			}
			tally.add(id)
			return nil
		})
	}
	return tally, g.Wait()
}

// download gets the content of one flow, checks it, and returns the ID of the target that answered.
func download(ctx context.Context, c *http.Client, size flows.ServiceSize, flow string, bytes, chunk int, every time.Duration) (string, error) {
	url := fmt.Sprintf("http://%s%s?flow=%s&size=%d",
		netip.AddrPortFrom(netip.MustParseAddr(size.Address.IP), size.Address.Port), target.PathDownload, flow, bytes)
	if every > 0 {
		url += fmt.Sprintf("&chunk=%d&every=%s", chunk, every)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	resp, err := c.Do(r)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", trace.Errorf("%s answered %s", size.Name, resp.Status)
	}
	if got := resp.Header.Get(target.HeaderService); got != size.Name {
		return "", trace.CompareFailed("asked %s, answered by %q", size.Name, got)
	}
	checker := target.NewChecker(size.Name, flow)
	if _, err := copyAll(checker, resp.Body); err != nil {
		return "", trace.Wrap(err)
	}
	if checker.Size() != int64(bytes) {
		return "", trace.CompareFailed("%s: %d of %d bytes", size.Name, checker.Size(), bytes)
	}
	return resp.Header.Get(target.HeaderTarget), nil
}
