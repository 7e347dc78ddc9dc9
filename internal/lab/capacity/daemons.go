package capacity

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/lab/control"
)

// daemons measures complete balancer daemons under configuration changes through the object API.
func daemons() probe {
	const targets, changeRate = 20, 2
	return probe{
		name: "daemons", per: "balancer", source: "pkg/balancerd, pkg/revision, pkg/peer",
		sizes: []float64{8, 16, 32}, repeats: 1,
		outputs: []output{
			{name: "whole balancers, heap of all", unit: "B"},
			{name: "whole balancers, bytes of one at rest", unit: "B/s"},
			{name: "whole balancers, bytes of one with 2 changes a second", unit: "B/s"},
			{name: "whole balancers, reads with 2 changes a second", unit: "reads/s"},
			{name: "whole balancers, writes with 2 changes a second", unit: "writes/s"},
			{name: "change of configuration, stored until accepted, 99th percentile", unit: "ms", doublings: true},
			{name: "change of configuration, accepted until in force everywhere, 99th percentile", unit: "ms", doublings: true},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			points, err := control.Measure(ctx, control.Size{Balancers: int(size), Targets: targets, ChangeRate: changeRate})
			if err != nil {
				return nil, trace.Wrap(err)
			}
			p := points[0]
			return []float64{
				float64(p.Heap), p.Idle.Bytes, p.Busy.Bytes, p.Busy.Reads, p.Busy.Writes,
				float64(p.Accepted.Milliseconds()), float64(p.InForce.Milliseconds()),
			}, nil
		},
	}
}
