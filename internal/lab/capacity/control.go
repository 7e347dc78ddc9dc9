package capacity

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

const (
	// idleWindow is the time over which an idle fleet is measured, after waiting for settleTime.
	idleWindow = 5 * time.Second
	settleTime = 1500 * time.Millisecond
	// changeNodes is the number of balancers in the measurements of member changes.
	changeNodes = 16
	percent     = 100
)

// controlIdle measures an idle fleet by the number of balancers.
func controlIdle() probe {
	return probe{
		name: "control-rest", per: "balancer", source: "pkg/peer, pkg/membership",
		sizes: []float64{16, 32, 64}, repeats: 2,
		outputs: []output{
			{name: "control at rest, bytes of a balancer", unit: "B/s", doublings: true},
			{name: "control at rest, processor time of a balancer", unit: "% of a core", doublings: true},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			f, err := startFleet(ctx, fleetOptions{balancers: int(size)})
			if err != nil {
				return nil, err
			}
			defer f.close()
			c, err := f.measureIdle()
			if err == nil && c.bytes == 0 {
				err = errNoBytes("control-rest")
			}
			return []float64{c.bytes / c.seconds, c.core.Seconds() / c.seconds / size * percent}, err
		},
	}
}

// measureIdle measures the cost of an idle period.
func (f *controlFleet) measureIdle() (cost, error) {
	f.pause(settleTime)
	return f.measureCost(func() error {
		f.pause(idleWindow)
		return f.ctx.Err()
	})
}

// controlAgents measures four balancers by the number of agents per balancer, during the agents' start and afterwards.
func controlAgents() probe {
	const balancers = 4
	return probe{
		name: "control-agents", per: "agent of a balancer", source: "pkg/peer",
		sizes: []float64{5, 10, 20}, repeats: 2,
		outputs: []output{
			{name: "agents' start, bytes of a balancer", unit: "B"},
			{name: "agents' start, bytes of an agent", unit: "B"},
			{name: "heartbeats, bytes of a balancer", unit: "B/s"},
			{name: "heartbeats, bytes of an agent", unit: "B/s"},
			{name: "heartbeats, processor time of a balancer and its agents", unit: "% of a core"},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			f, err := startFleet(ctx, fleetOptions{balancers: balancers})
			if err != nil {
				return nil, err
			}
			defer f.close()
			agents := int(size) * balancers
			start, err := f.measureCost(func() error {
				err := f.addAgents(agents, agents/5)
				f.pause(settleTime)
				return err
			})
			if err != nil {
				return nil, err
			}
			c, err := f.measureIdle()
			return []float64{start.bytes, start.agentBytes, c.bytes / c.seconds, c.agentBytes / c.seconds, c.core.Seconds() / c.seconds / balancers * percent}, err
		},
	}
}

// controlMembers measures the cost of simultaneous member changes, with the targets of the whole fleet in the tables.
func controlMembers() probe {
	return probe{
		name: "control-members", per: "changed member", source: "pkg/peer, pkg/membership",
		sizes: []float64{1, 20, 100, deadInDataCentre}, repeats: 2,
		outputs: []output{
			{name: "members changed at once, bytes of a balancer", unit: "B"},
			{name: "members changed at once, processor time of a balancer", unit: "ms"},
			{name: "members changed at once, time until all agree", unit: "s"},
			{name: "members died at once, bytes of a balancer", unit: "B"},
			{name: "members died at once, processor time of a balancer", unit: "ms"},
			{name: "members died at once, time until all agree", unit: "s"},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			f, err := startFleet(ctx, fleetOptions{balancers: changeNodes, records: fleetTargets, services: fleetServices})
			if err != nil {
				return nil, err
			}
			defer f.close()
			f.pause(settleTime)
			changed, err := f.propagateChanges(int(size), func(m *membership.Member) { m.Sequence++; m.State = membership.StateDraining })
			if err != nil {
				return nil, err
			}
			dead, err := f.propagateChanges(int(size), func(m *membership.Member) { m.State = membership.StateDead })
			return append(changed, dead...), err
		},
	}
}

// propagateChanges changes the records of count targets in one balancer's table and waits until all tables agree. It
// returns the bytes and the milliseconds of processor time per balancer, and the elapsed seconds.
func (f *controlFleet) propagateChanges(count int, change func(m *membership.Member)) ([]float64, error) {
	begin := time.Now()
	c, err := f.measureCost(func() error {
		t := f.nodes[0].node.Table()
		for i := range count {
			m, _ := t.Get(newMember(membership.RoleAgent, i).ID)
			change(&m)
			m.Changed = time.Now()
			t.Merge(m, time.Now())
		}
		return f.await("all tables equal", f.tablesAgree)
	})
	took := time.Since(begin).Seconds()
	return []float64{c.bytes, c.core.Seconds() * 1000 / changeNodes, took}, err
}

// controlRevisions measures configuration changes by the number of balancers, with all services in the revision.
func controlRevisions() probe {
	const changes = 3
	return probe{
		name: "control-revisions", per: "balancer", source: "pkg/peer, pkg/revision",
		sizes: []float64{16, 32, 64}, repeats: 2,
		outputs: []output{
			{name: "change of one service, bytes of a balancer", unit: "B"},
			{name: "change of one service, processor time of a balancer", unit: "ms"},
			{name: "change of one service, time until adopted by all from peers", unit: "s", doublings: true},
			{name: "change of one service, time until all are known to have it", unit: "s", doublings: true},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			f, err := startFleet(ctx, fleetOptions{balancers: int(size), records: fleetTargets, services: fleetServices})
			if err != nil {
				return nil, err
			}
			defer f.close()
			f.pause(settleTime)
			var adopted, counted float64
			c, err := f.measureCost(func() error {
				for i := range changes {
					a, n, err := f.reconfigure(uint64(i + 2))
					if err != nil {
						return err
					}
					adopted += a / changes
					counted += n / changes
				}
				return nil
			})
			return []float64{c.bytes / changes, c.core.Seconds() * 1000 / changes / size, adopted, counted}, err
		},
	}
}

// reconfigure publishes a revision in which the first number services are changed. It returns the seconds until all
// balancers have adopted it, and until all of them know that it is in force on all.
func (f *controlFleet) reconfigure(number uint64) (adopted, counted float64, err error) {
	r := newRevision(number, fleetServices)
	for i := range r.Services[:int(number)] {
		r.Services[i].Version = number
		r.Services[i].Spec.Limits.Connections = uint32(number)
	}
	begin := time.Now()
	f.nodes[0].adopter.Offer(r, revision.SourceHead)
	err = f.await("revision adopted by all", func() bool {
		for _, n := range f.nodes {
			if n.adopter.Number() < number {
				return false
			}
		}
		return true
	})
	if err != nil {
		return 0, 0, err
	}
	adopted = time.Since(begin).Seconds()
	err = f.await("revision in force on all", func() bool { return f.inForce(number) })
	return adopted, time.Since(begin).Seconds(), err
}

// controlChurn measures successive member changes by their rate.
func controlChurn() probe {
	const window = 5 * time.Second
	return probe{
		name: "control-churn", per: "changed member a second", source: "pkg/peer, pkg/membership",
		sizes: []float64{2, 10, 40}, repeats: 1,
		outputs: []output{
			{name: "members changed one by one, bytes of a balancer", unit: "B/s"},
			{name: "members changed one by one, processor time of a balancer", unit: "% of a core"},
			{name: "members changed one by one, time until all agree afterwards", unit: "s"},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			f, err := startFleet(ctx, fleetOptions{balancers: changeNodes, records: fleetTargets, services: fleetServices})
			if err != nil {
				return nil, err
			}
			defer f.close()
			f.pause(settleTime)
			c, err := f.measureCost(func() error { return f.churn(size, window) })
			if err != nil {
				return nil, err
			}
			begin := time.Now()
			err = f.await("all tables equal", f.tablesAgree)
			return []float64{c.bytes / c.seconds, c.core.Seconds() / c.seconds / changeNodes * percent, time.Since(begin).Seconds()}, err
		},
	}
}

// churn changes targets' records at the given rate, in the tables of the balancers in turn.
func (f *controlFleet) churn(perSecond float64, window time.Duration) error {
	every := time.Duration(float64(time.Second) / perSecond)
	end := time.Now().Add(window)
	for i := 0; time.Now().Before(end); i++ {
		t := f.nodes[i%len(f.nodes)].node.Table()
		m, _ := t.Get(newMember(membership.RoleAgent, i).ID)
		m.Sequence++
		m.State = membership.StateDraining
		m.Changed = time.Now()
		t.Merge(m, time.Now())
		f.pause(every)
	}
	return f.ctx.Err()
}
