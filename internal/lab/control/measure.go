package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Size is the size of one measured installation.
type Size struct {
	// Balancers and Targets are the numbers of daemons.
	Balancers, Targets int
	// ChangeRate is the number of changes a second; 0 measures without changes only.
	ChangeRate float64
}

// Point is the measured cost of an installation of a size, without faults.
type Point struct {
	Size
	// Idle are the rates without changes, Busy those with ChangeRate changes a second.
	Idle, Busy Rates
	// Heap is the growth of the live heap since before the start, in bytes: balancers with small flow caches, control
	// sessions without a packet path, the store stand-in and the records of the run.
	Heap uint64
	// Accepted is the 99th percentile of the time from storing a change to its acceptance, InForce that from acceptance
	// to adoption by the last balancer; 0 without changes.
	Accepted, InForce time.Duration
	// Revisions is the number of revisions per second with changes.
	Revisions float64
}

const (
	// measureTime is the length of the measurement with changes, idleTime of that without.
	measureTime = 10 * time.Second
	idleTime    = 8 * time.Second
	// warmUpTime lets the traffic of the start subside before the measurement; the byte budget accumulates for up to 10 s.
	warmUpTime = 6 * time.Second
	// measureSeed makes the changes repeatable.
	measureSeed = 1
)

// Measure runs an installation of each size in turn and returns its cost. The processor time of a point is that of the
// whole process, store stand-in and operators included, so nothing else may run in it.
func Measure(ctx context.Context, sizes ...Size) ([]Point, error) {
	points := make([]Point, 0, len(sizes))
	for _, s := range sizes {
		p, err := measure(ctx, s)
		if err != nil {
			return points, trace.Wrap(err, "%d balancers, %d targets", s.Balancers, s.Targets)
		}
		points = append(points, p)
	}
	return points, nil
}

func measure(ctx context.Context, s Size) (Point, error) {
	p := Point{Size: s}
	before := heap()
	o := Options{Balancers: s.Balancers, Targets: s.Targets, Seed: measureSeed, ChangeRate: max(s.ChangeRate, 1)}.withDefaults()
	c, err := startCluster(ctx, o)
	if err != nil {
		return p, trace.Wrap(err)
	}
	defer c.close()
	_ = wait.For(ctx, warmUpTime)
	daemons := s.Balancers + s.Targets
	begin := c.usage()
	_ = wait.For(ctx, idleTime)
	idle := c.usage()
	p.Idle = ratesBetween(begin, idle, daemons, s.Targets)
	if now := heap(); now > before {
		p.Heap = now - before
	}
	if s.ChangeRate == 0 {
		return p, trace.Wrap(ctx.Err())
	}
	operators := newOperators(c, measureSeed)
	idle = c.usage()
	head := c.truth.head()
	operators.run(ctx, int(s.ChangeRate*measureTime.Seconds()), measureTime)
	p.Busy = ratesBetween(idle, c.usage(), daemons, s.Targets)
	p.Revisions = float64(c.truth.head()-head) / measureTime.Seconds()
	if err := c.await(settleTime, func() bool { return c.unadopted() == "" && c.unjudged() == "" }); err != nil {
		return p, trace.Wrap(err, "changes are not in force")
	}
	var r Result
	c.truth.mu.Lock()
	newJudge(c, operators.changes, nil, &r).run()
	c.truth.mu.Unlock()
	p.Accepted, p.InForce = percentile(r.Judged, 0.99), percentile(r.InForce, 0.99)
	if len(r.Broken) > 0 {
		return p, trace.Errorf("%s", r.Broken[0])
	}
	return p, nil
}
