package balancerd

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// dataCentreCheckInterval is the time between two checks for data centres for which this process has no lease runner
// yet.
const dataCentreCheckInterval = 5 * time.Second

// membersDuty reads the stored members once and competes, for each data centre, for the duty of writing its members.
func (d *Daemon) membersDuty(ctx context.Context) error {
	go d.readMembers(ctx)
	var g errgroup.Group
	started := map[string]bool{}
	t := time.NewTicker(dataCentreCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		for _, m := range d.Members() {
			if started[m.DataCentre] {
				continue
			}
			started[m.DataCentre] = true
			g.Go(func() error { return d.writeMembers(ctx, m.DataCentre) })
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	return g.Wait()
}

// readMembers merges the stored members into the table, so that a new process has them before it receives updates from
// its peers.
func (d *Daemon) readMembers(ctx context.Context) {
	members, err := membership.ReadGroups(ctx, d.store)
	if err != nil {
		d.o.Env.Log.Warn().Err(err).Str("op", "read-members").Msg("members are learned from peers only")
	}
	for _, m := range members {
		d.node.Table().Merge(m, time.Now())
	}
}

// writeMembers competes for the duty of one data centre. The candidates are its own balancers, or all balancers when it
// has none that are live and reachable.
func (d *Daemon) writeMembers(ctx context.Context, dataCentre string) error {
	w := membership.GroupWriter{Store: d.store, Table: d.node.Table(), DataCentre: dataCentre, Log: d.o.Env.Log}
	r := d.leaseRunner(membership.GroupLeaseName(dataCentre), func(m membership.Member) bool {
		return m.DataCentre == dataCentre || !d.hasBalancer(dataCentre)
	})
	return r.Run(ctx, w.Duty)
}

func (d *Daemon) hasBalancer(dataCentre string) bool {
	for _, b := range d.node.Table().Balancers() {
		if b.Live() && !b.Unreachable && b.DataCentre == dataCentre {
			return true
		}
	}
	return false
}
