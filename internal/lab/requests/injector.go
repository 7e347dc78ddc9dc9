package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	faultInterval      = 700 * time.Millisecond
	targetDownTime     = 600 * time.Millisecond
	agentDownTime      = 500 * time.Millisecond
	shedTime           = 800 * time.Millisecond
	storeDownTime      = 500 * time.Millisecond
	drainLimit         = 10 * time.Second
	drainViewDelay     = 100 * time.Millisecond
	lateConnectionTime = 300 * time.Millisecond
)

// injector injects the faults of a run, one every faultInterval. A fault may overlap the ones before it.
type injector struct {
	cluster *cluster
	d       deployment
	faults  faultSet
	deaths  *deaths
	rand    *rand.Rand
	joined  int
}

// applyInitial sets the faults that start with the run: in each service, one slow target, one that reports a load of
// 0 and one cold target; and lost responses of the object API.
func (i *injector) applyInitial() {
	for _, s := range i.d {
		agents := i.cluster.list(s.name)
		if i.faults.has(faultSlowTarget) {
			agents[0].target.slow.Store(true)
		}
		if i.faults.has(faultLyingHealth) {
			agents[1].target.lying.Store(true)
		}
		if i.faults.has(faultColdStart) {
			agents[2].target.makeCold()
		}
	}
	i.cluster.setStoreFaults(false, i.faults.has(faultClaimLost))
}

// run injects faults in rotation until ctx ends.
func (i *injector) run(ctx context.Context) {
	var actions []func(serviceSize, *agent)
	add := func(f fault, action func(serviceSize, *agent)) {
		if i.faults.has(f) {
			actions = append(actions, action)
		}
	}
	add(faultTargetKill, i.killTarget)
	add(faultAgentKill, i.killAgent)
	add(faultTargetShed, i.shedTarget)
	add(faultTargetDrain, i.drain)
	add(faultTargetJoin, i.join)
	add(faultStoreDown, i.stopStore)
	if len(actions) == 0 {
		return
	}
	tick := time.NewTicker(faultInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := i.d[i.rand.IntN(len(i.d))]
		if a := i.victim(s); a != nil {
			actions[n%len(actions)](s, a)
		}
	}
}

// victim returns a random healthy agent, or nil unless more than two thirds of the service's targets are healthy.
func (i *injector) victim(s serviceSize) *agent {
	var good []*agent
	for _, a := range i.cluster.list(s.name) {
		if !a.leaving.Load() && !a.target.dead.Load() && !a.target.shed.Load() {
			good = append(good, a)
		}
	}
	if 3*len(good) <= 2*s.targets {
		return nil
	}
	return good[i.rand.IntN(len(good))]
}

func (i *injector) killTarget(s serviceSize, a *agent) {
	i.deaths.record(s.name)
	a.target.kill()
	time.AfterFunc(targetDownTime, func() { _ = a.target.restart(i.faults.has(faultColdStart)) })
}

// killAgent kills an agent and starts its next incarnation after agentDownTime; the dead one stays in the view for
// viewDelay.
func (i *injector) killAgent(s serviceSize, a *agent) {
	i.deaths.record(s.name)
	a.kill()
	time.AfterFunc(viewDelay, func() { i.cluster.remove(s.name, a) })
	time.AfterFunc(agentDownTime, func() { _, _ = i.cluster.startAgent(s, a.name, a.target, false) })
}

func (i *injector) shedTarget(_ serviceSize, a *agent) {
	a.target.shed.Store(true)
	time.AfterFunc(shedTime, func() { a.target.shed.Store(false) })
}

func (i *injector) stopStore(serviceSize, *agent) {
	loses := i.faults.has(faultClaimLost)
	i.cluster.setStoreFaults(true, loses)
	time.AfterFunc(storeDownTime, func() { i.cluster.setStoreFaults(false, loses) })
}

// drain drains a target and starts a new one in its place. Callers and other agents see the drain after drainViewDelay.
func (i *injector) drain(s serviceSize, a *agent) {
	time.AfterFunc(drainViewDelay, func() { a.leaving.Store(true) })
	if a.daemon != nil {
		go i.drainDaemon(s, a)
		i.join(s, nil)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
		defer cancel()
		if a.server.Drain(ctx) != nil {
			return
		}
		time.Sleep(lateConnectionTime)
		i.cluster.remove(s.name, a)
		time.Sleep(i.cluster.pace.deadline)
		if a.server.Drain(ctx) != nil {
			return
		}
		a.kill()
		a.target.kill()
	}()
	i.join(s, nil)
}

// drainDaemon drains a real agent, which exits by itself, and then kills its target.
func (i *injector) drainDaemon(s serviceSize, a *agent) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*drainLimit)
	defer cancel()
	if a.daemon.Drain(ctx) != nil {
		return
	}
	i.cluster.remove(s.name, a)
	a.target.kill()
}

func (i *injector) join(s serviceSize, _ *agent) {
	if len(i.cluster.list(s.name)) > s.targets+1 {
		return
	}
	i.joined++
	_, _ = i.cluster.join(s, fmt.Sprintf("%s-new-%d", s.name, i.joined), i.faults.has(faultColdStart))
}
