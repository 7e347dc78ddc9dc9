package revision

import (
	"cmp"
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// LeaseName is the name of the lease of the compile duty.
const LeaseName = "compile"

// Defaults of a Compiler.
const (
	// DefaultWindow is the time for which changes are gathered into one revision.
	DefaultWindow = 50 * time.Millisecond
	// DefaultInterval is the shortest time between two revisions. A revision takes each balancer some 3 KB of control
	// traffic (auburnwood-lab control), and each may spend 12 KB a second; changes that come faster share a revision.
	DefaultInterval = 500 * time.Millisecond
	// DefaultResync is the time between two compilations without a signal, against gaps in a watch.
	DefaultResync = 10 * time.Second
	// DefaultKeep is the number of revisions below the head that stay stored.
	DefaultKeep = 5
	// DefaultReadRate is the number of reads a second that all balancers together may spend on fetching revisions.
	DefaultReadRate = 1000
	// DefaultStatusRate is the number of status writes a second.
	DefaultStatusRate = 50
	// DefaultStatusInterval is the shortest time between two writes of one service's unfinished count in force.
	DefaultStatusInterval = time.Second

	statusTick = 100 * time.Millisecond
	retryPause = 200 * time.Millisecond
)

// Compiler is the duty that compiles revisions and writes the status of services.
type Compiler struct {
	// Store keeps the services, revisions, head and statuses.
	Store objectapi.Store
	// Acks counts the balancers that adopted a revision; nil means that none are known.
	Acks Acks
	// Adopter is this process's own adopter, which takes each accepted revision at once; it may be nil.
	Adopter *Adopter
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// Log takes a line for each accepted revision and each rejected service.
	Log zerolog.Logger
	// Metrics takes the counters; nil means none.
	Metrics tally.Scope
	// Window, Interval, Resync, Keep, ReadRate, StatusRate and StatusInterval replace the defaults unless they are 0.
	Window         time.Duration
	Interval       time.Duration
	Resync         time.Duration
	Keep           uint64
	ReadRate       int
	StatusRate     int
	StatusInterval time.Duration
}

// Duty runs until ctx ends or a later term has claimed the head. It is a lease.Duty.
func (c *Compiler) Duty(ctx context.Context, g lease.Grant) error {
	s, err := newSession(ctx, c.withDefaults(), g)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watch(ctx, resource.KindService) })
	group.Go(func() error { return s.watch(ctx, rollout.Kind) })
	group.Go(func() error { return s.watch(ctx, resource.KindEvacuation) })
	group.Go(func() error { return s.run(ctx) })
	return group.Wait()
}

func (c *Compiler) withDefaults() Compiler {
	d := *c
	if d.Clock == nil {
		d.Clock = lease.SystemClock{}
	}
	if d.Acks == nil {
		d.Acks = noAcks{}
	}
	if d.Metrics == nil {
		d.Metrics = tally.NoopScope
	}
	d.Window = cmp.Or(d.Window, DefaultWindow)
	d.Interval = cmp.Or(d.Interval, DefaultInterval)
	d.Resync = cmp.Or(d.Resync, DefaultResync)
	d.Keep = cmp.Or(d.Keep, DefaultKeep)
	d.ReadRate = cmp.Or(d.ReadRate, DefaultReadRate)
	d.StatusRate = cmp.Or(d.StatusRate, DefaultStatusRate)
	d.StatusInterval = cmp.Or(d.StatusInterval, DefaultStatusInterval)
	return d
}

type noAcks struct{}

func (noAcks) InForce(uint64) (int, int) { return 0, 0 }
