package agentd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// leaveLinger is how long a drained agent goes on forwarding packets of other agents' flows after it has left, so that
// balancers that learn of it late lose nothing.
const leaveLinger = 2 * time.Second

// Run waits for the target's announcement and serves it until ctx ends or the target drains. Either way flows get their
// drain time to end.
func (d *Daemon) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(d.killed)
	server := &http.Server{Handler: d.announce.handler(), ReadHeaderTimeout: time.Second}
	g.Go(func() error { return serveUntil(run, server, d.listener) })
	g.Go(func() error {
		defer d.kill()
		return d.serve(ctx, run)
	})
	err := g.Wait()
	if d.killed.Err() != nil && trace.Unwrap(err) == context.Canceled {
		return nil
	}
	return trace.Wrap(err, "agent %s", d.o.Settings.Name)
}

// serveUntil serves HTTP until ctx ends.
func serveUntil(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return trace.Wrap(err, "serve announcements")
	}
	return nil
}

// serve runs the packet path and the control session from the announcement to the end of the drain.
func (d *Daemon) serve(ctx, run context.Context) error {
	a, ok := d.awaitAnnouncement(ctx, run)
	if !ok {
		return nil
	}
	parts, err := d.open(a)
	if err != nil {
		return err
	}
	sessionCtx, leave := context.WithCancel(run)
	defer leave()
	agentCtx, stop := context.WithCancel(run)
	defer stop()
	defer d.requests.close()
	var g errgroup.Group
	g.Go(func() error { return parts.agent.Run(agentCtx) })
	g.Go(func() error { return parts.session.Run(sessionCtx) })
	g.Go(func() error { return ignoreCancelled(d.refusals.Run(agentCtx)) })
	g.Go(func() error {
		d.awaitDrain(ctx, run)
		d.drain(run, parts, leave)
		stop()
		return nil
	})
	return g.Wait()
}

func (d *Daemon) awaitAnnouncement(ctx, run context.Context) (Announcement, bool) {
	select {
	case a := <-d.announce.announced:
		return a, true
	case <-d.announce.drained:
	case <-ctx.Done():
	case <-run.Done():
	}
	return Announcement{}, false
}

func (d *Daemon) awaitDrain(ctx, run context.Context) {
	select {
	case <-d.announce.drained:
	case <-ctx.Done():
		d.announce.startDrain()
	case <-run.Done():
	}
}

// drain lets flows and requests end, hands over the refusal records, leaves the membership and forwards late packets a
// while. A request that another agent hands over in that while is answered too.
func (d *Daemon) drain(run context.Context, p parts, leave context.CancelFunc) {
	if run.Err() != nil {
		return
	}
	limit, cancel := context.WithTimeout(run, p.agent.DrainTime())
	defer cancel()
	p.agent.Drain(run)
	d.requests.await(limit)
	sync, stop := context.WithTimeout(run, leaveLinger)
	_ = d.refusals.Sync(sync)
	stop()
	leave()
	select {
	case <-run.Done():
	case <-time.After(leaveLinger):
	}
	d.requests.await(limit)
}

func ignoreCancelled(err error) error {
	if trace.Unwrap(err) == context.Canceled {
		return nil
	}
	return err
}
