package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/balancerd"
	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// watchWait is the duration of a watch in the stand-in, and platformWait the assumed duration on the platform.
	watchWait    = 3 * time.Second
	platformWait = 30 * time.Second
	callWindow   = 9 * time.Second
	callSettle   = 8 * time.Second
)

// storeReads measures the object API calls of idle balancers by their number.
func storeReads() probe {
	return probe{
		name: "store-balancers", per: "balancer", source: "pkg/balancerd, pkg/revision, pkg/lease",
		sizes: []float64{4, 8, 16}, repeats: 1, parallel: true,
		outputs: []output{{name: "reads of idle balancers, watches that wait 3 s", unit: "reads/s"}, {name: "writes of idle balancers", unit: "writes/s"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			return idleCalls(ctx, int(size), 1)
		},
	}
}

// storeCentres measures the object API calls of idle balancers, three for each data centre, by the number of data
// centres.
func storeCentres() probe {
	return probe{
		name: "store-data-centres", per: "data centre", source: "pkg/balancerd, pkg/lease, pkg/membership",
		sizes: []float64{1, 3, 7}, repeats: 1, parallel: true,
		outputs: []output{{name: "reads by data centres", unit: "reads/s"}, {name: "writes by data centres", unit: "writes/s"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			const perCentre = 3
			return idleCalls(ctx, perCentre*int(size), int(size))
		},
	}
}

// idleCalls returns the reads and writes per second of idle balancers.
func idleCalls(ctx context.Context, balancers, centres int) ([]float64, error) {
	f, err := startDaemons(ctx, balancers, centres, watchWait)
	if err != nil {
		return nil, err
	}
	defer f.close()
	_ = wait.For(ctx, callSettle)
	writes := f.store.Counts().Writes()
	reads := f.reads(ctx, callWindow)
	return []float64{reads, float64(f.store.Counts().Writes()-writes) / callWindow.Seconds()}, ctx.Err()
}

// daemonFleet is a set of balancer daemons that share one store.
type daemonFleet struct {
	store   *store.Store
	daemons []*balancerd.Daemon
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func startDaemons(ctx context.Context, balancers, centres int, wait time.Duration) (*daemonFleet, error) {
	f := &daemonFleet{store: store.New(store.Config{WatchWait: wait})}
	if err := put(ctx, f.store, newServices(1)[0], 0); err != nil {
		return nil, err
	}
	ctx, f.cancel = context.WithCancel(ctx)
	for i := range balancers {
		d, err := newDaemon(i, centres, f.daemons, f.store)
		if err != nil {
			f.close()
			return nil, err
		}
		f.daemons = append(f.daemons, d)
		f.done.Go(func() { _ = d.Run(ctx) })
	}
	return f, nil
}

// reads returns the mean reads per second over the given duration.
func (f *daemonFleet) reads(ctx context.Context, during time.Duration) float64 {
	before := f.store.Counts().Reads()
	_ = wait.For(ctx, during)
	return float64(f.store.Counts().Reads()-before) / during.Seconds()
}

func (f *daemonFleet) close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	f.cancel()
	f.done.Wait()
}

func newDaemon(i, centres int, seeds []*balancerd.Daemon, s *store.Store) (*balancerd.Daemon, error) {
	c := settings.DefaultBalancer()
	c.Name, c.Region = newMember(membership.RoleBalancer, i).ID, "region-0"
	_, c.DataCentre = dataCentre(i % centres)
	c.PacketAddress, c.ControlAddress = loopback.String(), loopback.String()
	c.FabricAddress = unusedAddr.String()
	c.CachedFlows = smallCache
	for _, d := range seeds[:min(len(seeds), 3)] {
		c.Peers = append(c.Peers, d.ControlAddr())
	}
	env := telemetry.Env{Log: zerolog.Nop(), Scope: tally.NoopScope, Status: &telemetry.Status{}}
	d, err := balancerd.New(balancerd.Options{Settings: c, Env: env, Store: s})
	return d, trace.Wrap(err)
}

// storeAdoption measures the reads of the balancers for one configuration change.
func storeAdoption() probe {
	return probe{
		name: "store-change", per: "balancer", source: "pkg/balancerd, pkg/revision",
		sizes: []float64{4, 8, 16}, repeats: 1, parallel: true,
		outputs: []output{{name: "change of configuration, reads", unit: "reads"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			const changes = 5
			// Watches outlast the measurement, so that only changes end them.
			f, err := startDaemons(ctx, int(size), 1, time.Hour)
			if err != nil {
				return nil, err
			}
			defer f.close()
			_ = wait.For(ctx, callSettle)
			idle := f.reads(ctx, callWindow)
			service := newServices(1)[0]
			begin := time.Now()
			before := f.store.Counts().Reads()
			for i := range changes {
				service.Spec.Limits.Connections = uint32(10 + i)
				if err := put(ctx, f.store, service, uint64(i+1)); err != nil {
					return nil, err
				}
				_ = wait.For(ctx, time.Second)
			}
			busy := float64(f.store.Counts().Reads() - before)
			return []float64{(busy - idle*time.Since(begin).Seconds()) / changes}, ctx.Err()
		},
	}
}

// operatorCalls measures the object API calls of "auburnwoodctl apply".
func operatorCalls() probe {
	return probe{
		name: "operator", per: "service", source: "pkg/ctl",
		sizes: []float64{1, 10, 100}, repeats: 1,
		outputs: []output{{name: "apply, reads", unit: "reads"}, {name: "apply, writes", unit: "writes"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			s := store.New(store.Config{})
			a := ctl.Applier{Store: s}
			for _, one := range newServices(int(size)) {
				if _, err := a.Apply(ctx, one); err != nil {
					return nil, trace.Wrap(err)
				}
			}
			c := s.Counts()
			return []float64{float64(c.Reads()), float64(c.Writes())}, nil
		},
	}
}
