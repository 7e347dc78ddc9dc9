package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/agentd"
)

const announceRetry = 500 * time.Millisecond

type standins struct {
	layout  Layout
	store   *store.Store
	fabric  *fabric.Fabric
	targets []*target.Target
}

// Serve serves the stand-ins until ctx ends. Each target repeats its announcement to its agent, so that agents may start
// and restart at any time.
func Serve(ctx context.Context, l Layout, out io.Writer) error {
	f, err := fabric.New(fabric.Config{Listen: l.addr(portFabric)})
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.Close()
	s := &standins{layout: l, store: store.New(store.Config{}), fabric: f}
	defer s.close()
	for n := range l.Balancers {
		f.AddBalancer(l.addr(portBalancer + n))
	}
	g, run := errgroup.WithContext(ctx)
	for _, t := range l.targets() {
		if err := s.startTarget(t); err != nil {
			return trace.Wrap(err)
		}
		g.Go(func() error { return s.announce(run, t) })
	}
	g.Go(func() error { return serveHTTP(run, l.addr(portAPI), store.Handler(s.store)) })
	g.Go(func() error { return serveHTTP(run, l.addr(portAdmin), s.admin()) })
	_, _ = fmt.Fprintf(out, "object API at %s, stand-ins controlled at http://%s\n", l.apiURL(), l.addr(portAdmin))
	return g.Wait()
}

func (s *standins) startTarget(t targetPlace) error {
	st, err := target.Start(target.Config{
		Service: t.size.Name, ID: t.name, Listen: s.layout.addr(portTarget + t.n), Connections: connections,
	}, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	s.targets = append(s.targets, st)
	return nil
}

func (s *standins) close() {
	for _, t := range s.targets {
		t.Kill()
	}
}

// announce repeats a target's announcement, as the target program does.
func (s *standins) announce(ctx context.Context, t targetPlace) error {
	body, err := json.Marshal(agentd.Announcement{Service: t.size.Name, Slots: t.size.Slots, Connections: connections})
	if err != nil {
		return trace.Wrap(err)
	}
	url := "http://" + s.layout.addr(portAnnounce+t.n).String() + agentd.PathTarget
	tick := time.NewTicker(announceRetry)
	defer tick.Stop()
	for {
		if r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body)); err == nil {
			if resp, err := http.DefaultClient.Do(r); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func serveHTTP(ctx context.Context, addr netip.AddrPort, h http.Handler) error {
	s := &http.Server{Addr: addr.String(), Handler: h, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return trace.Wrap(err, "serve at %v", addr)
	}
	return nil
}
