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

// lastWrites bounds the writing of refusal records at a graceful shutdown.
const lastWrites = 5 * time.Second

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

// mirror hands this balancer's records to other balancers.
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

// holders are the balancers that hold copies of this balancer's records.
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

// remove reports whether the balancer held copies, and forgets it.
func (h *holders) remove(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.ids[id]
	delete(h.ids, id)
	return held
}

// takeMirrored keeps the records that another process hands over. An agent does not write to the store, so the balancer
// writes an agent's records like its own; those of a balancer only when that balancer is dead.
func (d *Daemon) takeMirrored(id string, b []byte) error {
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

// runRefusals writes records until ctx ends, then writes what is left.
func (d *Daemon) runRefusals(ctx context.Context) error {
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error { return d.refusals.Run(run) })
	g.Go(func() error { return d.watchDeaths(run) })
	err := g.Wait()
	if d.killed.Err() == nil {
		last, cancel := context.WithTimeout(context.Background(), lastWrites)
		defer cancel()
		if derr := d.refusals.Drain(last); derr != nil {
			d.o.Env.Log.Warn().Err(derr).Str("op", "drain-refusals").Msg("records left to the mirror")
		}
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// watchDeaths takes over the records of dead balancers, and mirrors this balancer's again when their holder died.
func (d *Daemon) watchDeaths(ctx context.Context) error {
	changes, cancel := d.node.Table().Subscribe()
	defer cancel()
	known := lives{}
	for {
		for _, m := range d.node.Table().Members() {
			if m.Role != membership.RoleBalancer || !known.ended(&m) {
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

// lives are the incarnations of the balancers that were seen last.
type lives map[string]uint64

// ended reports whether a life of the balancer is over, or may be: it is gone, a later life has begun before anybody found
// the earlier one dead, or its whole region is out of reach, where nobody may be left to find it dead. Records that are
// written by two processes count once.
func (l lives) ended(m *membership.Member) bool {
	before, known := l[m.ID]
	l[m.ID] = m.Incarnation
	return !m.Live() || m.Unreachable || known && m.Incarnation > before
}
