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
	// DefaultWindow is the time during which changes are batched into one revision.
	DefaultWindow = 50 * time.Millisecond
	// DefaultInterval is the minimum time between two revisions. It bounds control traffic: a revision costs each
	// balancer about 3 KB (auburnwood-lab control) of its budget of 12 KB a second.
	DefaultInterval = 500 * time.Millisecond
	// DefaultResync is the maximum time between two compilations; it covers events that a watch has missed.
	DefaultResync = 10 * time.Second
	// DefaultKeep is the number of revisions below the head that are retained.
	DefaultKeep = 5
	// DefaultReadRate is the number of reads a second that all balancers together may use to fetch revisions.
	DefaultReadRate = 1000
	// DefaultStatusRate is the number of status writes a second.
	DefaultStatusRate = 50
	// DefaultStatusInterval is the minimum time between two writes of a service's in-force count while it is incomplete.
	DefaultStatusInterval = time.Second

	statusTick = 100 * time.Millisecond
	retryPause = 200 * time.Millisecond
)

// Compiler is the duty that compiles revisions and writes the statuses of services.
type Compiler struct {
	// Store holds the services, revisions, head and statuses.
	Store objectapi.Store
	// Acks counts the balancers that have adopted a revision; nil means that none are known.
	Acks Acks
	// Adopter is this process's own adopter, which is offered each accepted revision directly; it may be nil.
	Adopter *Adopter
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// Log records accepted revisions, changed statuses and failures.
	Log zerolog.Logger
	// Metrics receives the counters; nil means none.
	Metrics tally.Scope
	// Window, Interval, Resync, Keep, ReadRate, StatusRate and StatusInterval override the defaults; 0 means the default.
	Window         time.Duration
	Interval       time.Duration
	Resync         time.Duration
	Keep           uint64
	ReadRate       int
	StatusRate     int
	StatusInterval time.Duration
}

// Duty compiles revisions until ctx ends or a later term has claimed the head. It is a lease.Duty.
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

func (noAcks) InForce(uint64) resource.InForce { return resource.InForce{} }
