package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Times of the faults.
const (
	faultInterval   = 700 * time.Millisecond
	targetDownTime  = 600 * time.Millisecond
	agentDownTime   = 500 * time.Millisecond
	shedTime        = 800 * time.Millisecond
	storeDownTime   = 500 * time.Millisecond
	drainLimit      = 10 * time.Second
	viewLag         = 100 * time.Millisecond
	lateConnections = 300 * time.Millisecond
)

// injector causes the faults of a run, one after the other and at most two at once.
type injector struct {
	cluster *cluster
	d       deployment
	faults  faultSet
	deaths  *deaths
	rand    *rand.Rand
	joined  int
}

// standing sets the faults that last for the whole run: one slow, one lying and one cold target in each service.
func (i *injector) standing() {
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

// run causes faults until ctx ends.
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

// victim chooses an agent in good state while more than two thirds of the service are there.
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
	i.deaths.note(s.name)
	a.target.kill()
	time.AfterFunc(targetDownTime, func() { _ = a.target.restart(i.faults.has(faultColdStart)) })
}

// killAgent kills an agent and starts its next incarnation later; others learn of the death with a delay.
func (i *injector) killAgent(s serviceSize, a *agent) {
	i.deaths.note(s.name)
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

// drain lets a target leave: others learn of it with a delay. A new target takes its place.
func (i *injector) drain(s serviceSize, a *agent) {
	time.AfterFunc(viewLag, func() { a.leaving.Store(true) })
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
		time.Sleep(lateConnections)
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

// drainDaemon lets a real agent leave, which ends by itself.
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
