package agentd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// leaveLinger is how long a drained agent keeps forwarding packets of other agents' flows after it has left the
// membership, for balancers that receive the change late. It also bounds the final transfer of refusal records.
const leaveLinger = 2 * time.Second

// Run waits for the target's announcement and serves the target until ctx ends or the target drains. In both cases open
// flows get the drain time to end.
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

// serve runs the packet path and the control session from the target's announcement until the drain has finished.
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

// drain waits for flows and requests to end, sends the refusal records to balancers, leaves the membership and keeps
// forwarding packets for leaveLinger. Requests that other agents hand over meanwhile are answered too.
func (d *Daemon) drain(run context.Context, p components, leave context.CancelFunc) {
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
