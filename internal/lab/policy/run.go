package policy

import "time"

// settleTime is how long a run continues after the last request would time out.
const settleTime = 4 * time.Second

// Run simulates one run. The error is that of invalid options.
func Run(o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	w := newWorld(o)
	// Agents have sent their first announcements before the first request.
	w.after(0, w.generateRequests)
	for _, f := range o.Faults {
		w.after(f.At, func() { w.inject(f) })
	}
	w.run(epoch.Add(o.Length + o.Budget + settleTime))
	return w.result, nil
}

// inject starts a fault and schedules its end.
func (w *world) inject(f Fault) {
	switch f.Kind {
	case PowerLoss:
		w.powerLoss(f)
	case Restart:
		for _, a := range w.sampleAgents(f.Share) {
			a.target.stop()
			w.after(f.For, func() { a.target.start(false) })
		}
	case Burst:
		w.burst = f.Factor
		w.after(f.For, func() { w.burst = 1 })
	case Slow:
		w.degradeTargets(f, func(t *target, on bool) { t.slow = pick(on, f.Factor, 1) })
	case Fails:
		w.degradeTargets(f, func(t *target, on bool) { t.failing = pick(on, f.Factor, 0) })
	case Mute:
		w.degradeTargets(f, func(t *target, on bool) { t.mute = pick(on, f.Factor, 0) })
	case Wrong:
		w.degradeTargets(f, func(t *target, on bool) { t.wrong = pick(on, f.Factor, 0) })
	case AgentDies:
		for _, a := range w.sampleAgents(f.Share) {
			a.up = false
			w.after(f.For, func() { a.start(false) })
		}
	}
}

func pick(on bool, a, b float64) float64 {
	if on {
		return a
	}
	return b
}

// sampleAgents returns a random share of the agents.
func (w *world) sampleAgents(share float64) []*agentNode {
	n := int(share*float64(len(w.agents)) + 0.5)
	var out []*agentNode
	for _, i := range w.random.Perm(len(w.agents))[:n] {
		out = append(out, w.agents[i])
	}
	return out
}

// degradeTargets applies a change to a random share of the targets for the duration of a fault.
func (w *world) degradeTargets(f Fault, change func(t *target, on bool)) {
	hit := w.sampleAgents(f.Share)
	for _, a := range hit {
		change(a.target, true)
	}
	w.after(f.For, func() {
		for _, a := range hit {
			change(a.target, false)
		}
	})
}

// powerLoss stops all VMs, and starts targets after f.For, balancers and agents startDelay later.
func (w *world) powerLoss(f Fault) {
	w.powerLost = true
	for _, b := range w.balancers {
		b.up, b.downAt = false, w.now()
	}
	for _, a := range w.agents {
		a.up = false
		a.target.stop()
	}
	w.after(f.For, func() {
		for _, a := range w.agents {
			a.target.start(false)
		}
	})
	w.after(f.For+startDelay, func() {
		w.powerLost = false
		for _, b := range w.balancers {
			b.start()
		}
		for _, a := range w.agents {
			a.start(false)
			a.announce()
		}
	})
}
