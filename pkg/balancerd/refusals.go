package balancerd

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// finalWriteTimeout bounds the writing of the remaining refusal records at a graceful shutdown.
const finalWriteTimeout = 5 * time.Second

func (d *Daemon) newRefusals() *refusal.Log {
	return refusal.NewLog(refusal.Config{
		Process:     d.o.Settings.Name,
		Incarnation: d.o.Incarnation,
		Store:       d.store,
		Eras:        d.eras,
		Mirror:      (*mirror)(d),
		Logger:      d.o.Env.Log,
		Scope:       d.o.Env.Scope,
	})
}

// mirror sends copies of this balancer's records to other balancers.
type mirror Daemon

// Mirror implements refusal.Mirror.
func (m *mirror) Mirror(ctx context.Context, records []refusal.Record) error {
	b, err := refusal.EncodeRecords(records)
	if err != nil {
		return err
	}
	holders, err := m.node.Mirror(ctx, b)
	if err != nil {
		return err
	}
	for _, id := range holders {
		m.holders.add(id)
	}
	return nil
}

// holders is the set of balancers that hold copies of this balancer's records.
type holders struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (h *holders) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ids == nil {
		h.ids = map[string]bool{}
	}
	h.ids[id] = true
}

// remove removes a balancer and reports whether it held copies.
func (h *holders) remove(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.ids[id]
	delete(h.ids, id)
	return held
}

// receiveMirrored stores the records sent by another process. Agents don't write to the store, so the balancer writes
// their records like its own. Those of another balancer are kept as copies and written only when that balancer is dead.
func (d *Daemon) receiveMirrored(id string, b []byte) error {
	records, err := refusal.DecodeRecords(b)
	if err != nil {
		return err
	}
	if m, ok := d.node.Table().Get(id); ok && m.Role == membership.RoleBalancer {
		d.refusals.Adopt(id, records)
		return nil
	}
	d.refusals.Accept(records)
	return nil
}

// runRefusals writes records until ctx ends, then writes the remaining ones unless the daemon was killed.
func (d *Daemon) runRefusals(ctx context.Context) error {
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error { return d.refusals.Run(run) })
	g.Go(func() error { return d.watchDeaths(run) })
	err := g.Wait()
	if d.killed.Err() == nil {
		last, cancel := context.WithTimeout(context.Background(), finalWriteTimeout)
		defer cancel()
		if derr := d.refusals.Drain(last); derr != nil {
			d.o.Env.Log.Warn().Err(derr).Str("op", "drain-refusals").Msg("remaining records left to the balancers that hold copies")
		}
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// watchDeaths takes over the records of dead balancers, and mirrors this balancer's records again when a holder of
// copies has died.
func (d *Daemon) watchDeaths(ctx context.Context) error {
	changes, cancel := d.node.Table().Subscribe()
	defer cancel()
	known := incarnations{}
	for {
		for _, m := range d.node.Table().Members() {
			if m.Role != membership.RoleBalancer || !known.hasEnded(&m) {
				continue
			}
			d.refusals.PeerDied(m.ID)
			if d.holders.remove(m.ID) {
				d.refusals.MirrorChanged()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}

// incarnations maps each balancer to the incarnation that was last seen.
type incarnations map[string]uint64

// hasEnded reports whether an incarnation of the balancer has ended or may have: it is no longer live, a later
// incarnation started before the earlier one was declared dead, or its whole region is unreachable, where no process
// may be left to declare it dead. Records that are written by two processes are counted once.
func (l incarnations) hasEnded(m *membership.Member) bool {
	before, known := l[m.ID]
	l[m.ID] = m.Incarnation
	return !m.Live() || m.Unreachable || known && m.Incarnation > before
}
